#include <geraniumpulley/codec/progress_messages.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley;
using namespace std::chrono_literals;

TEST_CASE("progress is encoded by group")
{
    core::BatchProgress progress;
    progress.itemCount = 3;
    progress.listedCount = 1;
    progress.missingItems = {
            {{"i1"},
             "g1",
             core::WaitReason::Text,
             {"e1"},
             "dc1",
             core::RunCause::AfterLoss,
             17,
             3400ms},
            {{"i2"}, "g1", core::WaitReason::Engine, {}, "", core::RunCause::First, 0, 90ms}};
    CHECK(codec::encodeProgress({"b"}, progress)
          == R"({"batch":"b","groups":[{"group":"g1","items":[)"
             R"({"cause":"after_loss","data_centre":"dc1","events":17,"id":"i1",)"
             R"("state":"running","target":"e1","wait_ms":3400},)"
             R"({"cause":"first","data_centre":"","events":0,"id":"i2",)"
             R"("state":"waiting_for_engine","target":"","wait_ms":90}]}],"listed":1,"total":3})");
}
