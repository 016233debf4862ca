#include <geraniumpulley/codec/target_messages.hpp>

#include <geraniumpulley/codec/error.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley;

namespace {
const std::string firstChunk = R"({"version":3,"incarnation":"i1","tokens":["a","b"]})"
                               "\n";
const std::string secondChunk = R"({"version":4,"incarnation":"i1","tokens":["c"]})"
                                "\n";
} // namespace

TEST_CASE("a generation across a weight swap has a span per version, wherever the stream is split")
{
    const std::string encoded = firstChunk + secondChunk + "{\"end\":3}\n";
    for (std::size_t splitAt = 0; splitAt <= encoded.size(); ++splitAt) {
        codec::GenerationStream stream;
        std::string text;
        std::vector<core::VersionSpan> spans;
        for (const std::string &bytes : {encoded.substr(0, splitAt), encoded.substr(splitAt)}) {
            const auto part = codec::decodeGenerationBytes(stream, bytes);
            REQUIRE(part.has_value());
            text += part.value().text;
            for (const core::VersionSpan &span : part.value().spans)
                core::appendSpan(spans, span);
        }
        CHECK(text == "abc");
        REQUIRE(spans.size() == 2);
        CHECK(spans[1] == core::VersionSpan{core::WeightVersion{4}, "i1", 2, 3});
        CHECK(codec::isEnded(stream));
        CHECK(stream.declaredTokens == 3);
    }
}

TEST_CASE("a generation without an end marker is not ended, and no data may follow the marker")
{
    codec::GenerationStream stream;
    REQUIRE(codec::decodeGenerationBytes(stream, firstChunk).has_value());
    CHECK_FALSE(codec::isEnded(stream));
    REQUIRE(codec::decodeGenerationBytes(stream, "{\"end\":2}").has_value());
    CHECK_FALSE(codec::isEnded(stream));
    REQUIRE(codec::decodeGenerationBytes(stream, "\n").has_value());
    CHECK(codec::isEnded(stream));
    CHECK(codec::decodeGenerationBytes(stream, secondChunk).error() == codec::Errc::SchemaMismatch);
}
