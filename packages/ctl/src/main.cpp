#include <geraniumpulley/codec/configuration_text.hpp>
#include <geraniumpulley/codec/operator_messages.hpp>

#include <cpprest/http_client.h>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <pplx/threadpool.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>
#include <string>

namespace {

using namespace geraniumpulley;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
constexpr int threadPoolSize = 2;
constexpr auto requestTimeout = std::chrono::seconds(20);

struct HttpReply
{
    std::uint32_t status = 0;
    web::json::value body;
};

int usageError(const std::string &problem)
{
    fmt::print(stderr, "geraniumpulleyctl: {}; see --help\n", problem);
    return exitUsage;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    return std::string{std::istreambuf_iterator<char>(file), {}};
}

std::optional<HttpReply> request(const std::string &server, const std::string &method,
                                 const std::string &path, const std::string &body = {})
{
    try {
        web::http::client::http_client_config configuration;
        configuration.set_timeout(requestTimeout);
        web::http::client::http_client client(web::uri(server), configuration);
        web::http::http_request message(method);
        message.set_request_uri(web::uri(path));
        if (!body.empty())
            message.set_body(body, "application/json");
        const web::http::http_response response = client.request(message).get();
        return HttpReply{response.status_code(), response.extract_json().get()};
    } catch (const std::exception &error) {
        fmt::print(stderr, "geraniumpulleyctl: {} does not answer: {}\n", server, error.what());
        return std::nullopt;
    }
}

void printProblem(const std::string &file, const std::string &place, const std::string &problem,
                  const std::string &allowed)
{
    fmt::print(stderr, "{}: {}: {}; allowed: {}\n", file, place.empty() ? "/" : place, problem,
               allowed);
}

int checkFile(const std::string &path)
{
    const std::optional<std::string> fileText = readFile(path);
    if (!fileText)
        return usageError("cannot read " + path);
    const codec::ParsedConfiguration parsed = codec::parseConfiguration(*fileText);
    for (const core::ConfigurationProblem &problem : parsed.problems)
        printProblem(path, problem.place, problem.problem, problem.allowed);
    if (!parsed.problems.empty())
        return exitUsage;
    fmt::print("{}: {} services, {} trainers, no problems\n", path,
               parsed.configuration.services.size(), parsed.configuration.trainers.size());
    return exitOk;
}

// Each submission has a unique id, so that it can safely be submitted again if its answer was lost.
std::string makeSubmissionId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}", device(), device(), device());
}

std::string defaultAuthor()
{
    const char *user = std::getenv("USER");
    return user == nullptr ? "operator" : user;
}

std::optional<std::uint64_t> fetchVersionInForce(const std::string &server)
{
    const std::optional<HttpReply> status = request(server, "GET", "/status");
    if (!status || !status->body.has_number_field("version"))
        return std::nullopt;
    return status->body.at("version").as_number().to_uint64();
}

int printVerdict(const std::string &path, const HttpReply &reply, const std::string &submissionId)
{
    const std::string verdict =
            reply.body.has_string_field("verdict") ? reply.body.at("verdict").as_string() : "";
    if (verdict == "accepted") {
        fmt::print("accepted version={}\n", reply.body.at("version").serialize());
        return exitOk;
    }
    if (verdict == "conflict") {
        fmt::print(stderr, "refused: version {} by {} won; look at it and submit again\n",
                   reply.body.at("version").serialize(), reply.body.at("author").as_string());
        return exitFailed;
    }
    if (verdict == "invalid") {
        for (const web::json::value &problem : reply.body.at("problems").as_array())
            printProblem(path, problem.at("place").as_string(), problem.at("problem").as_string(),
                         problem.at("allowed").as_string());
        return exitUsage;
    }
    fmt::print(stderr, "unknown: ask again with --id {}\n", submissionId);
    return exitFailed;
}

int submitFile(const std::string &server, const std::string &path,
               const cxxopts::ParseResult &arguments)
{
    const std::optional<std::string> fileText = readFile(path);
    if (!fileText)
        return usageError("cannot read " + path);
    std::optional<std::uint64_t> base;
    if (arguments.count("base") > 0)
        base = arguments["base"].as<std::uint64_t>();
    else
        base = fetchVersionInForce(server);
    if (!base)
        return exitFailed;
    fmt::print("base version={}\n", *base);
    core::ConfigurationDocument document;
    document.author = arguments["author"].as<std::string>();
    document.submissionId =
            arguments.count("id") > 0 ? arguments["id"].as<std::string>() : makeSubmissionId();
    document.text = *fileText;
    const std::string body = codec::encodeSubmission(core::ConfigurationVersion{*base}, document);
    const std::optional<HttpReply> reply = request(server, "POST", "/configuration", body);
    if (!reply)
        return exitFailed;
    return printVerdict(path, *reply, document.submissionId);
}

int printResource(const std::string &server, const std::string &path)
{
    const std::optional<HttpReply> reply = request(server, "GET", path);
    if (!reply)
        return exitFailed;
    fmt::print("{}\n", reply->body.serialize());
    constexpr std::uint32_t statusOk = 200;
    return reply->status == statusOk ? exitOk : exitFailed;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("geraniumpulleyctl",
                             "Operators' tool of the rollout service.\n\n"
                             "  check FILE    check a text; exit 0, or 2 with one line an error\n"
                             "  submit FILE   submit a text\n"
                             "  status        show what a node has in force and knows\n"
                             "  audit         show the trail of accepted texts\n");
    options.positional_help("COMMAND [FILE]");
    options.add_options()("server", "operators' address of a node",
                          cxxopts::value<std::string>()->default_value("http://127.0.0.1:7002"),
                          "URI")(
            "author", "who submits", cxxopts::value<std::string>()->default_value(defaultAuthor()),
            "NAME")("base", "version that the text is based on; default: the one in force",
                    cxxopts::value<std::uint64_t>(), "N")(
            "id", "submission id, to ask again about an unknown one", cxxopts::value<std::string>(),
            "ID")("h,help", "show this text")("version", "show the version")(
            "arguments", "", cxxopts::value<std::vector<std::string>>()->default_value(""));
    options.parse_positional({"arguments"});
    return options;
}

int run(const cxxopts::ParseResult &arguments, const cxxopts::Options &options)
{
    if (arguments.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    if (arguments.count("version") > 0) {
        fmt::print("geraniumpulleyctl {}\n", GERANIUMPULLEY_VERSION);
        return exitOk;
    }
    const auto positionals = arguments["arguments"].as<std::vector<std::string>>();
    const std::string command = positionals.empty() ? "" : positionals[0];
    const std::string server = arguments["server"].as<std::string>();
    const bool takesFile = command == "check" || command == "submit";
    const bool takesNoFile = command == "status" || command == "audit";
    if (!takesFile && !takesNoFile)
        return usageError(command.empty() ? "no command" : "unknown command " + command);
    const std::size_t expectedCount = takesFile ? 2 : 1;
    if (positionals.size() != expectedCount)
        return usageError(command + (takesFile ? " takes one FILE" : " takes no argument"));
    if (command == "check")
        return checkFile(positionals[1]);
    if (command == "submit")
        return submitFile(server, positionals[1], arguments);
    return printResource(server, "/" + command);
}

} // namespace

int main(int argc, char **argv)
{
    crossplat::threadpool::initialize_with_threads(threadPoolSize);
    cxxopts::Options options = makeOptions();
    try {
        return run(options.parse(argc, argv), options);
    } catch (const cxxopts::exceptions::exception &error) {
        return usageError(error.what());
    }
}
