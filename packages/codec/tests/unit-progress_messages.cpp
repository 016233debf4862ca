#include <geraniumpulley/codec/progress_messages.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley;
using namespace std::chrono_literals;

TEST_CASE("progress is encoded by group")
{
    core::BatchProgress progress;
    progress.itemCount = 3;
    progress.listedCount = 1;
    progress.heldItems = {
            {{"i1"},
             "g1",
             core::HeldFor::Text,
             {"e1"},
             "dc1",
             core::RunCause::AfterLoss,
             17,
             3400ms},
            {{"i2"}, "g1", core::HeldFor::Engine, {}, "", core::RunCause::First, 0, 90ms}};
    CHECK(codec::encodeProgress({"b"}, progress)
          == R"({"batch":"b","groups":[{"group":"g1","items":[)"
             R"({"cause":"after_loss","data_centre":"dc1","events":17,"held_ms":3400,"id":"i1",)"
             R"("state":"running","target":"e1"},)"
             R"({"cause":"first","data_centre":"","events":0,"held_ms":90,"id":"i2",)"
             R"("state":"waiting_for_engine","target":""}]}],"listed":1,"total":3})");
}
