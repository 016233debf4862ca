#pragma once

// A deployment with model engines, scorers and trainers, for the tests with batches.

#include "mini.hh"

namespace mini {

struct BatchTest
{
    int engineCount = 9;
    int itemsPerBatch = 1000;
    int eventsPerText = 25;
    std::size_t eventBytes = 1000;
    double eventMs = 4;
    /// The last items of each batch run far longer than the rest.
    int stragglersPerBatch = 0;
    int stragglerEvents = 0;
    double stragglerEventMs = 0;
    double scoreMs = 5;
    int scorerCount = 3;
    int scoreTimeoutMs = 1500;
    int modelCount = 1; ///< Batches are for the models in turn.
    int maxHeaderBytes = 16384;
    std::string promptPrefix; ///< Of the first item.
    std::vector<Engine *> engines;
    std::vector<Plain *> plains;

    static std::string idOf(int batch, int item)
    {
        char id[32];
        std::snprintf(id, sizeof id, "%04x%012x", batch, item);
        return id;
    }

    static std::string batchId(int batch) { return "b" + idOf(batch, 0); }

    std::string submission(int batch) const
    {
        const std::string model = "m" + std::to_string((batch - 1) % this->modelCount);
        std::string body = R"({"step":)" + std::to_string(batch) + R"(,"model":")" + model
                           + R"(","min_version":1,"desired":)"
                           + std::to_string(this->itemsPerBatch / 8) + R"(,"requests":[)";
        for (int i = 0; i < this->itemsPerBatch; ++i) {
            const std::string id = idOf(batch, i);
            body += (i == 0 ? "" : ",") + (R"({"id":")" + id)
                    + R"(","path":"/roll/1","headers":{"X-Model":")" + model
                    + R"(","X-Token-Counts":"40,400")"
                    + (i == 0 && !this->promptPrefix.empty()
                               ? R"(,"X-Prompt-Prefix":")" + this->promptPrefix + "\"},"
                               : "},")
                    + R"("body":"q83v","tokens":440,"group":"g)" + std::to_string(batch) + "-"
                    + std::to_string(i / 8) + R"(","scorer":{"id":"s)" + id
                    + R"(","host":"site.example","path":"/score/1","body":"3q2+"}})";
        }
        return body + "]}";
    }

    void startWorkers(Store &store)
    {
        store.put("op", "config",
                  R"({"version":7,"routes":[{"name":"r-1","host":"site.example",)"
                  R"("path_prefix":"/roll/","kind":"rollout","timeout_ms":10000,"due_ms":7500,)"
                  R"("max_wait_s":110,"target_latency_ms":400,"priority":1,"service":"lm",)"
                  R"("max_attempts":3},{"name":"r-2","host":"site.example",)"
                  R"("path_prefix":"/score/","kind":"safe","timeout_ms":)"
                          + std::to_string(this->scoreTimeoutMs)
                          + R"(,"target_latency_ms":150,"priority":2,"service":"app",)"
                            R"("max_attempts":4}],"services":[{"name":"lm",)"
                            R"("health_path":"/healthz","max_conns":130,"protocol":"h1",)"
                            R"("tls":false,"engine":{"slots":8,)"
                          + encodeModels(this->modelCount)
                          + R"(}},)"
                            R"({"name":"app","health_path":"/healthz","max_conns":96,)"
                            R"("protocol":"h1","tls":false}],"limits":{"max_header_bytes":)"
                          + std::to_string(this->maxHeaderBytes)
                          + R"(,)"
                            R"("max_body_bytes":33554432,"header_timeout_ms":3000,)"
                            R"("idle_timeout_ms":15000}})");
        for (int i = 0; i < this->engineCount; ++i) {
            auto *engine = new Engine("e-" + std::to_string(i + 1), this->modelCount,
                                      this->eventsPerText, this->eventBytes, this->eventMs);
            if (this->stragglersPerBatch > 0) {
                const int first = this->itemsPerBatch - this->stragglersPerBatch;
                engine->isStraggler = [first](const std::string &item) {
                    return std::stoi(item.substr(4), nullptr, 16) >= first;
                };
                engine->stragglerEvents = this->stragglerEvents;
                engine->stragglerEventMs = this->stragglerEventMs;
            }
            this->engines.push_back(engine);
            beat(store, engine->id, [engine] { return engine->entry("lm"); });
        }
        for (int i = 0; i < this->scorerCount; ++i) {
            auto *plain = new Plain("p-" + std::to_string(i + 1), this->scoreMs);
            this->plains.push_back(plain);
            beat(store, plain->id, [plain] { return plainEntry("app", plain->server.address()); });
        }
    }

    int submit(const Node &node, int batch) const
    {
        const Response response = call(node.callers, "POST", "/roll/" + batchId(batch),
                                       {{"Host", "site.example"},
                                        {"X-Attempt-Id", batchId(batch)},
                                        {"Content-Type", "application/json"},
                                        {"Connection", "close"}},
                                       this->submission(batch), 5000);
        record("batch %s submitted at %s: %d", batchId(batch).c_str(), node.name.c_str(),
               response.status);
        return response.status;
    }

    // Reads the results of a batch behind a position. \return how many came, or -1 without an
    // answer.
    static int read(const Node &node, int batch, std::size_t after,
                    const std::function<void(const rapidjson::Value &)> &onResult = {})
    {
        const Response response =
                call(node.callers, "GET",
                     "/-/lots/" + batchId(batch) + "?after=" + std::to_string(after),
                     {{"Host", "site.example"}, {"Connection", "close"}}, "", 2500);
        if (response.status != 200) {
            record("read of %s after %zu at %s: %d", batchId(batch).c_str(), after,
                   node.name.c_str(), response.status);
            return -1;
        }
        rapidjson::Document answer;
        answer.Parse(response.body.data(), response.body.size());
        if (onResult)
            for (const auto &result : answer["results"].GetArray())
                onResult(result);
        return static_cast<int>(answer["results"].Size());
    }
};

// Watches the memory of the nodes as the platform does: a process over the limit is killed, and
// each process that has ended is started again after a short delay.
class MemoryWatch
{
public:
    MemoryWatch(std::vector<Node> &nodes, double limitMb)
        : ends(nodes.size()), peaks(nodes.size()), nodes(nodes), limitMb(limitMb),
          thread([this] { this->run(); })
    {
    }

    /// Kills a node, as the disruption of the test.
    void kill(std::size_t node) { this->killRequested = static_cast<int>(node); }

    void stop()
    {
        this->isOver = true;
        this->thread.join();
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
            record("%s: ended %d times by itself, peak %.0f MB", this->nodes[i].name.c_str(),
                   this->ends[i], this->peaks[i]);
    }

    /// \return how many nodes have ended by themselves at least so often.
    int nodesThatEnded(int times) const
    {
        int count = 0;
        for (const int end : this->ends)
            count += end >= times ? 1 : 0;
        return count;
    }

    std::vector<int> ends;
    std::vector<double> peaks;

private:
    void run()
    {
        std::vector<double> restartAt(this->nodes.size());
        while (!this->isOver) {
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                Node &node = this->nodes[i];
                if (restartAt[i] > 0) {
                    if (nowMs() < restartAt[i])
                        continue;
                    node.start();
                    restartAt[i] = 0;
                }
                const double resident = node.residentMb();
                this->peaks[i] = std::max(this->peaks[i], resident);
                if (this->killRequested == static_cast<int>(i)) {
                    record("%s is killed (the disruption), it holds %.0f MB", node.name.c_str(),
                           resident);
                    this->killRequested = -1;
                } else if (resident >= 0 && resident <= this->limitMb) {
                    continue;
                } else if (resident < 0) {
                    record("%s has ended by itself", node.name.c_str());
                    ++this->ends[i];
                } else {
                    record("%s holds %.0f MB, more than %.0f: killed by the platform",
                           node.name.c_str(), resident, this->limitMb);
                    ++this->ends[i];
                }
                node.killAndWait();
                restartAt[i] = nowMs() + 500;
            }
            sleepMs(2);
        }
    }

    std::vector<Node> &nodes;
    double limitMb;
    std::atomic<bool> isOver = false;
    std::atomic<int> killRequested = -1;
    std::thread thread;
};

} // namespace mini
