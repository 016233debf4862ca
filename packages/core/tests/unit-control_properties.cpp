#include "control_network.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;
using fake::Network;

namespace {

// Submits several changes while the network loses, duplicates and reorders messages and the store
// is unavailable for at most one change, then checks the resulting versions and verdicts.
void checkDissemination(std::uint64_t seed, int outageBeforeChange)
{
    Network network(seed);
    for (int i = 0; i < 6; ++i)
        network.start(i);
    network.faults = {0.3, 0.2, 3s};
    network.run(10s);
    for (int change = 0; change < 4; ++change) {
        network.isStoreAvailable = change != outageBeforeChange;
        network.submit(change, network.storedDocuments.size(), "s" + std::to_string(change));
        network.run(Duration(seed % 5'000'000));
    }
    network.isStoreAvailable = true;
    network.run(60s);
    for (const auto &[address, member] : network.members) {
        RC_ASSERT(std::is_sorted(member.appliedVersions.begin(), member.appliedVersions.end()));
        RC_ASSERT(number(versionInForce(member.state)) == network.storedDocuments.size());
        for (const AnswerSubmission &answer : member.answers) {
            const auto row = network.acceptedVersions.find(answer.submissionId);
            if (answer.verdict == SubmissionVerdict::Accepted)
                RC_ASSERT(row != network.acceptedVersions.end() && row->second == answer.version);
            if (answer.verdict == SubmissionVerdict::Conflict)
                RC_ASSERT(row == network.acceptedVersions.end());
        }
    }
    RC_ASSERT(network.audit.size() == network.storedDocuments.size());
}

} // namespace

TEST_CASE("versions increase, verdicts are correct and nodes converge over a lossy, reordering "
          "network")
{
    CHECK(rc::check("dissemination and verdicts", [] {
        checkDissemination(*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::inRange(-1, 4));
    }));
}
