#include <geraniumpulley/core/rollouts/sample.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>

namespace geraniumpulley::core {
namespace {

// Numbers are terminated and texts prefixed with their lengths, so different batches never
// serialize to the same bytes.
void append(std::string &bytes, std::uint64_t number)
{
    bytes += std::to_string(number);
    bytes += ';';
}

void append(std::string &bytes, const std::string &text)
{
    append(bytes, text.size());
    bytes += text;
}

void append(std::string &bytes, const SampleSlot &slot, const Sample &sample)
{
    append(bytes, slot.group);
    append(bytes, slot.index);
    append(bytes, sample.text);
    append(bytes, std::bit_cast<std::uint64_t>(sample.reward));
    append(bytes, sample.spans.size());
    for (const VersionSpan &span : sample.spans) {
        append(bytes, number(span.version));
        append(bytes, span.incarnation);
        append(bytes, span.first);
        append(bytes, span.last);
    }
}

std::string toHexadecimal(XXH128_hash_t hash)
{
    constexpr std::array<char, 17> digits{"0123456789abcdef"};
    constexpr int digitBits = 4;
    constexpr int wordBits = 64;
    std::string text;
    for (const std::uint64_t word : {hash.high64, hash.low64}) {
        for (int shift = wordBits - digitBits; shift >= 0; shift -= digitBits)
            text += digits.at((word >> shift) & 15U);
    }
    return text;
}

} // namespace

const TrainerName &trainerOf(const StepRequest &request)
{
    return stepOf(request).trainer;
}

const StepId &stepOf(const StepRequest &request)
{
    struct Visitor
    {
        const StepId &operator()(const OpenStep &open) { return open.spec.id; }
        const StepId &operator()(const FetchStep &fetch) { return fetch.id; }
        const StepId &operator()(const AcknowledgeStep &acknowledge) { return acknowledge.id; }
    };
    return std::visit(Visitor{}, request);
}

void appendSpan(std::vector<VersionSpan> &spans, VersionSpan span)
{
    if (!spans.empty() && spans.back().version == span.version
        && spans.back().incarnation == span.incarnation)
        spans.back().last = span.last;
    else
        spans.push_back(std::move(span));
}

bool isStale(const Sample &sample, WeightVersion trainerVersion, std::uint64_t bound)
{
    return std::any_of(sample.spans.begin(), sample.spans.end(), [&](const VersionSpan &span) {
        return number(trainerVersion) > number(span.version)
               && number(trainerVersion) - number(span.version) > bound;
    });
}

const char *differingField(const StepSpec &a, const StepSpec &b)
{
    if (a.prompts != b.prompts)
        return "prompts";
    if (a.groupSize != b.groupSize)
        return "group_size";
    if (a.maxTokens != b.maxTokens)
        return "max_tokens";
    if (a.trainerVersion != b.trainerVersion)
        return "trainer_version";
    if (a.dueIn != b.dueIn)
        return "due_ms";
    if (a.stalenessBound != b.stalenessBound)
        return "staleness_bound";
    return nullptr;
}

std::string digestOf(const std::vector<std::pair<SampleSlot, Sample>> &samples)
{
    std::string bytes;
    for (const auto &[slot, sample] : samples)
        append(bytes, slot, sample);
    return toHexadecimal(XXH3_128bits(bytes.data(), bytes.size()));
}

} // namespace geraniumpulley::core
