#include <geraniumpulley/core/leader/usage_reporter.hpp>

#include <geraniumpulley/core/backoff.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

UsageWindow before(UsageWindow window)
{
    return static_cast<UsageWindow>(number(window) - 1);
}

void takeUpWindows(UsageReporter &reporter, WallTime wallNow)
{
    const UsageReporterSettings &settings = reporter.settings;
    // The first window that is not past its due time, and the last one that can be decided.
    const UsageWindow first = windowAt(wallNow - settings.dueAfter, settings.window);
    const UsageWindow last = before(windowAt(wallNow - settings.decideDelay, settings.window));
    for (UsageWindow window = std::max(first, reporter.nextWindow); window <= last;
         window = next(window)) {
        reporter.reports.emplace(window, PendingReport{});
        reporter.nextWindow = next(window);
    }
}

UsageAction makeAction(UsageWindow window, const PendingReport &report,
                       const LeadershipProof &proof)
{
    switch (report.phase) {
    case ReportPhase::FindingReport:
        return FindUsageReport{window};
    case ReportPhase::Counting:
        return ReadUsageCounts{window};
    case ReportPhase::Deciding:
        return DecideUsageReport{window, report.counts};
    case ReportPhase::Sending:
        break;
    }
    return SendUsageReport{window, report.counts, proof};
}

// Returns the report whose action in this phase has completed, or null.
PendingReport *complete(UsageReporter &reporter, UsageWindow window, ReportPhase phase)
{
    const auto position = reporter.reports.find(window);
    if (position == reporter.reports.end() || position->second.phase != phase)
        return nullptr;
    position->second.inFlight = false;
    return &position->second;
}

void retryLater(const UsageReporter &reporter, PendingReport &report, Time now)
{
    report.retryAt = now
                     + backoffDelay(reporter.settings.minRetryDelay,
                                    reporter.settings.maxRetryDelay, report.failures++);
}

void enter(PendingReport &report, ReportPhase phase, Time now)
{
    report.phase = phase;
    report.failures = 0;
    report.retryAt = now;
}

} // namespace

std::vector<UsageAction> advanceReports(UsageReporter &reporter, const LeadershipProof &proof,
                                        Time now, WallTime wallNow)
{
    const UsageReporterSettings &settings = reporter.settings;
    std::vector<UsageAction> actions;
    takeUpWindows(reporter, wallNow);
    std::erase_if(reporter.reports, [&](const auto &entry) {
        const bool isMissed = endOf(entry.first, settings.window) + settings.dueAfter <= wallNow;
        if (isMissed)
            actions.emplace_back(UsageReportMissed{entry.first, entry.second.phase});
        return isMissed;
    });
    for (auto &[window, report] : reporter.reports) {
        if (report.inFlight || report.retryAt > now)
            continue;
        report.inFlight = true;
        actions.push_back(makeAction(window, report, proof));
    }
    if (now >= reporter.nextSweepAt) {
        reporter.nextSweepAt = now + settings.sweepPeriod;
        actions.emplace_back(
                RemoveUsageRows{windowAt(wallNow - settings.rowRetention, settings.window)});
    }
    return actions;
}

void abandonReports(UsageReporter &reporter)
{
    reporter.reports.clear();
    reporter.nextWindow = {};
}

void onReportFound(UsageReporter &reporter, UsageWindow window, bool succeeded,
                   std::optional<UsageCounts> counts, Time now)
{
    PendingReport *report = complete(reporter, window, ReportPhase::FindingReport);
    if (report == nullptr)
        return;
    if (!succeeded)
        return retryLater(reporter, *report, now);
    const bool isDecided = counts.has_value();
    report->counts = std::move(counts).value_or(UsageCounts{});
    enter(*report, isDecided ? ReportPhase::Sending : ReportPhase::Counting, now);
}

void onCountsRead(UsageReporter &reporter, UsageWindow window, bool succeeded, UsageCounts counts,
                  Time now)
{
    PendingReport *report = complete(reporter, window, ReportPhase::Counting);
    if (report == nullptr)
        return;
    if (!succeeded)
        return retryLater(reporter, *report, now);
    report->counts = std::move(counts);
    enter(*report, ReportPhase::Deciding, now);
}

// Only a row that was seen in the store decides: after any other outcome than a commit it is read.
void onReportDecided(UsageReporter &reporter, UsageWindow window, StoreOutcome outcome, Time now)
{
    PendingReport *report = complete(reporter, window, ReportPhase::Deciding);
    if (report == nullptr)
        return;
    if (outcome == StoreOutcome::Committed)
        return enter(*report, ReportPhase::Sending, now);
    const std::uint32_t failures = report->failures;
    enter(*report, ReportPhase::FindingReport, now);
    report->failures = failures;
    if (outcome != StoreOutcome::Conflict)
        retryLater(reporter, *report, now);
}

void onReportSent(UsageReporter &reporter, UsageWindow window, ProviderReply reply, Time now)
{
    PendingReport *report = complete(reporter, window, ReportPhase::Sending);
    if (report == nullptr)
        return;
    if (reply == ProviderReply::Accepted)
        reporter.reports.erase(window);
    else
        retryLater(reporter, *report, now);
}

std::optional<Time> dueAt(const UsageReporter &reporter, Time now, WallTime wallNow)
{
    const UsageReporterSettings &settings = reporter.settings;
    const UsageWindow current = reporter.nextWindow != UsageWindow{}
                                        ? reporter.nextWindow
                                        : windowAt(wallNow - settings.decideDelay, settings.window);
    Time due = now
               + std::max(endOf(current, settings.window) + settings.decideDelay - wallNow,
                          Duration{1});
    due = std::min(due, std::max(reporter.nextSweepAt, now + Duration{1}));
    for (const auto &[window, report] : reporter.reports) {
        const Time missedAt =
                now
                + std::max(endOf(window, settings.window) + settings.dueAfter - wallNow,
                           Duration{1});
        due = std::min(due, missedAt);
        if (!report.inFlight)
            due = std::min(due, std::max(report.retryAt, now));
    }
    return due;
}

} // namespace geraniumpulley::core
