#pragma once

#include <geraniumpulley/core/control/control.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// A simulation of the control duties of several nodes on a virtual clock, connected by a fake
/// network and a fake store.
namespace fake {

using namespace geraniumpulley::core;

struct Faults
{
    double duplicateProbability = 0; ///< Probability that a message is delivered twice.
    double lossProbability = 0; ///< Probability that a message is not delivered.
    Duration maxDelay = std::chrono::milliseconds(20); ///< Upper bound of the random delays.
};

struct Counters
{
    std::uint64_t messages = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t events = 0;
};

struct Network
{
    struct Member
    {
        ControlState state;
        bool isRunning = true;
        int region = 0;
        std::vector<AnswerSubmission> answers;
        std::vector<ConfigurationVersion> appliedVersions; ///< Applied versions, in order.
        Time lastAppliedAt{};
    };

    std::map<std::string, Member> members; ///< Nodes by address.
    std::multimap<Time, std::function<void()>> scheduledEvents;
    std::vector<ConfigurationDocument> storedDocuments;
    std::map<std::string, ConfigurationVersion> acceptedVersions;
    std::vector<AuditEntry> audit;
    std::vector<Target> targets;
    std::map<Shard, FenceRow> fences;
    std::map<NodeId, std::pair<LeaseRecord, std::uint64_t>> leases;
    bool isStoreAvailable = true;
    bool losesCommitAnswers = false;
    bool isPartitioned = false;
    bool isGossipEnabled = true; ///< Whether messages between nodes report versions.
    bool isPollingEnabled = true; ///< Whether nodes receive the head row from the store.
    Faults faults;
    Counters counters;
    std::function<void(const ControlAction &)> onSend = [](const ControlAction &) {};
    std::mt19937_64 random;
    Time now{std::chrono::hours(1)};

    explicit Network(std::uint64_t seed) : random(seed) { }

    static std::string addressOf(int index) { return "node-" + std::to_string(index); }

    Member &at(int index) { return this->members.at(addressOf(index)); }

    void start(int index, std::uint64_t incarnation = 1)
    {
        const std::string address = addressOf(index);
        ControlSettings settings;
        settings.self = Node{{address}, address, "dc", incarnation};
        if (index > 0)
            settings.seeds.push_back(addressOf(0));
        this->members[address] = Member{makeControlState(settings), true, 0, {}, {}, this->now};
        this->scheduleTick(address, incarnation);
    }

    void scheduleTick(const std::string &address, std::uint64_t incarnation)
    {
        const Duration period = std::chrono::milliseconds(900 + this->random() % 200);
        this->scheduledEvents.emplace(this->now + period, [this, address, incarnation] {
            Member &member = this->members.at(address);
            if (member.state.settings.self.incarnation != incarnation)
                return;
            if (member.isRunning)
                this->deliver(address, ControlTick{});
            this->scheduleTick(address, incarnation);
        });
    }

    void run(Duration length)
    {
        const Time end = this->now + length;
        while (!this->scheduledEvents.empty() && this->scheduledEvents.begin()->first <= end) {
            auto entry = this->scheduledEvents.extract(this->scheduledEvents.begin());
            this->now = entry.key();
            entry.mapped()();
        }
        this->now = end;
    }

    void submit(int index, std::uint64_t base, const std::string &id, const std::string &text = "")
    {
        ConfigurationDocument document{{}, id, "ines", text, std::make_shared<Configuration>()};
        this->deliver(addressOf(index),
                      SubmissionReceived{ReplyToken{1}, ConfigurationVersion{base}, document, {}});
    }

    void deliver(const std::string &address, const ControlEvent &event)
    {
        Member &member = this->members.at(address);
        if (!member.isRunning)
            return;
        ++this->counters.events;
        for (const ControlAction &action : step(member.state, event, this->now))
            std::visit([&](const auto &content) { this->perform(address, content); }, action);
    }

    Duration randomDelay()
    {
        return Duration(
                1 + this->random() % static_cast<std::uint64_t>(this->faults.maxDelay.count()));
    }

    bool randomChance(double probability)
    {
        return std::uniform_real_distribution<>()(this->random) < probability;
    }

    void deliverLater(const std::string &address, ControlEvent event)
    {
        this->scheduledEvents.emplace(
                this->now + this->randomDelay(),
                [this, address, event = std::move(event)] { this->deliver(address, event); });
    }

    void send(const std::string &from, const std::string &to, const ControlAction &action,
              const ControlEvent &event)
    {
        ++this->counters.messages;
        this->onSend(action);
        const auto target = this->members.find(to);
        const bool isUnreachable =
                target == this->members.end()
                || (this->isPartitioned && this->members.at(from).region != target->second.region);
        if (isUnreachable || this->randomChance(this->faults.lossProbability))
            return;
        this->deliverLater(to, event);
        if (this->randomChance(this->faults.duplicateProbability))
            this->deliverLater(to, event);
    }

    void answerRead(const std::string &address, ControlEvent event)
    {
        ++this->counters.reads;
        this->deliverLater(address, this->isStoreAvailable ? std::move(event)
                                                           : ControlEvent{StoreReadFailed{}});
    }

    std::optional<ConfigurationDocument> newestDocument() const
    {
        return this->storedDocuments.empty() ? std::nullopt
                                             : std::optional(this->storedDocuments.back());
    }

    bool commitConfiguration(const CommitConfiguration &commit)
    {
        const bool isAccepted = number(commit.audit.base) == this->storedDocuments.size()
                                && !this->acceptedVersions.contains(commit.audit.submissionId);
        if (!isAccepted)
            return false;
        this->storedDocuments.push_back(commit.document);
        this->acceptedVersions[commit.audit.submissionId] = commit.document.version;
        this->audit.push_back(commit.audit);
        return true;
    }

    void perform(const std::string &address, const CommitConfiguration &commit)
    {
        ++this->counters.writes;
        if (!this->isStoreAvailable)
            return this->deliverLater(address, CommitUncertain{commit.operation});
        const bool isCommitted = this->commitConfiguration(commit);
        if (this->losesCommitAnswers)
            return this->deliverLater(address, CommitUncertain{commit.operation});
        if (isCommitted)
            return this->deliverLater(address, CommitSucceeded{commit.operation});
        this->deliverLater(address, CommitRefused{commit.operation});
    }

    void perform(const std::string &address, const ReadConfiguration &)
    {
        this->answerRead(address, ConfigurationRead{this->newestDocument()});
    }

    void perform(const std::string &address, const ReadHead &)
    {
        if (this->isPollingEnabled)
            this->answerRead(address, HeadRead{ConfigurationVersion{this->storedDocuments.size()}});
    }

    void perform(const std::string &address, const ReadSubmission &read)
    {
        SubmissionRead result{read.operation, std::nullopt, this->newestDocument()};
        if (this->acceptedVersions.contains(read.submissionId))
            result.acceptedVersion = this->acceptedVersions[read.submissionId];
        this->answerRead(address, result);
    }

    void perform(const std::string &address, const ListTargets &)
    {
        this->answerRead(address, TargetsListed{this->targets});
    }

    // Without version gossip the nodes still probe each other, and each message reports the version
    // that the receiver already has.
    void perform(const std::string &from, const SendAnnouncement &action)
    {
        const auto target = this->members.find(action.to.address);
        if (!this->isGossipEnabled && action.announcement.kind == AnnouncementKind::VersionNotice)
            return;
        if (!this->isGossipEnabled && target != this->members.end()) {
            Announcement modified = action.announcement;
            modified.version = versionInForce(target->second.state);
            return this->send(from, action.to.address, action, AnnouncementReceived{modified});
        }
        this->send(from, action.to.address, action, AnnouncementReceived{action.announcement});
    }

    void perform(const std::string &from, const SendDocument &action)
    {
        this->send(from, action.to.address, action, DocumentReceived{action.document});
    }

    void perform(const std::string &from, const RequestDocument &action)
    {
        const Node &self = this->members.at(from).state.settings.self;
        this->send(from, action.to.address, action, DocumentRequested{self, action.knownVersion});
    }

    void perform(const std::string &from, const SendPatch &action)
    {
        const Node &self = this->members.at(from).state.settings.self;
        this->send(from, action.to.address, action, PatchReceived{self, action.patch});
    }

    void perform(const std::string &address, const ParseDocument &action)
    {
        ConfigurationDocument document = action.document;
        document.configuration = std::make_shared<Configuration>();
        this->deliver(address, DocumentReceived{document});
    }

    void perform(const std::string &address, const AnswerSubmission &answer)
    {
        this->members.at(address).answers.push_back(answer);
    }

    void perform(const std::string &address, const ApplyConfiguration &action)
    {
        Member &member = this->members.at(address);
        member.appliedVersions.push_back(action.document.version);
        member.lastAppliedAt = this->now;
    }

    void perform(const std::string &, const AnswerStatus &) { }
    void perform(const std::string &, const PublishView &) { }

    void perform(const std::string &address, const LeaseAction &action)
    {
        if (std::holds_alternative<ReadFences>(action)) {
            FencesRead event;
            for (const auto &[shard, row] : this->fences)
                event.rows.push_back(row);
            this->answerRead(address, LeaseEvent{event});
        } else if (const auto *leaseRead = std::get_if<ReadLeaseRow>(&action)) {
            const auto row = this->leases.find(leaseRead->node);
            LeaseRowRead event{leaseRead->node, std::nullopt, {}};
            if (row != this->leases.end())
                event = {leaseRead->node, row->second.first, RowVersion{row->second.second}};
            this->answerRead(address, LeaseEvent{event});
        } else if (const auto *commit = std::get_if<CommitLeases>(&action)) {
            ++this->counters.writes;
            CommitResult result = CommitResult::Uncertain;
            if (this->isStoreAvailable)
                result = this->commitLeases(*commit) ? CommitResult::Committed
                                                     : CommitResult::Refused;
            this->deliverLater(address, LeaseEvent{LeaseCommitCompleted{result}});
        }
    }

    bool commitLeases(const CommitLeases &commit)
    {
        if (this->leases[commit.self].second != number(commit.expectedVersion))
            return false;
        for (const FenceChange &change : commit.changes) {
            const FenceRow &expected = change.expectedRow;
            if (this->fences[expected.shard].fence != expected.fence)
                return false;
            if (change.holderLeaseVersion
                && this->leases[expected.record.holder].second
                           != number(*change.holderLeaseVersion))
                return false;
        }
        this->leases[commit.self] = {commit.renewal, number(commit.expectedVersion) + 1};
        for (const FenceChange &change : commit.changes)
            this->fences[change.expectedRow.shard] = {change.expectedRow.shard, change.newRecord,
                                                      next(change.expectedRow.fence)};
        return true;
    }
};

} // namespace fake
