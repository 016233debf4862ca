#include "standin.hpp"

#include <cpprest/json.h>

#include <map>
#include <memory>
#include <utility>

namespace standin {
namespace {

using geraniumpulley::net::ServerRequest;
using web::json::value;

struct Row
{
    std::string content;
    std::uint64_t version = 0;
};

// A table service with conditional transactions, an object store and a list of VMs.
struct Platform
{
    std::map<std::string, Row> rows;
    std::map<std::string, std::string> objects;
    std::string vms = R"({"vms":[]})";

    Reply serve(const ServerRequest &request)
    {
        const std::string path = requestPath(request);
        if (path == "/table/transact")
            return this->transact(value::parse(request.body));
        if (path == "/table/rows")
            return this->readRows(queryParameter(request, "key"),
                                  queryParameter(request, "prefix"));
        if (path.starts_with("/objects/"))
            return this->serveObject(request, path);
        if (path == "/vms" && request.method == "POST") {
            this->vms = request.body;
            return {};
        }
        if (path == "/vms")
            return {200, this->vms, {}};
        return {404, "{}", {}};
    }

    Reply transact(const value &transaction)
    {
        for (const value &check : transaction.at("checks").as_array()) {
            const auto position = this->rows.find(check.at("key").as_string());
            const std::uint64_t version =
                    position == this->rows.end() ? 0 : position->second.version;
            if (version != check.at("version").as_number().to_uint64())
                return {409, R"({"committed":false})", {}};
        }
        for (const value &write : transaction.at("writes").as_array()) {
            Row &row = this->rows[write.at("key").as_string()];
            row.content = write.at("value").as_string();
            ++row.version;
        }
        if (transaction.has_field("deletes")) {
            for (const value &key : transaction.at("deletes").as_array())
                this->rows.erase(key.as_string());
        }
        return {200, R"({"committed":true})", {}};
    }

    Reply readRows(const std::string &key, const std::string &prefix) const
    {
        std::vector<value> encodedRows;
        for (const auto &[name, row] : this->rows) {
            const bool isSelected = key.empty() ? name.starts_with(prefix) : name == key;
            if (!isSelected)
                continue;
            value encoded = value::object();
            encoded["key"] = value::string(name);
            encoded["value"] = value::string(row.content);
            encoded["version"] = value::number(row.version);
            encodedRows.push_back(std::move(encoded));
        }
        value body = value::object();
        body["rows"] = value::array(std::move(encodedRows));
        return {200, body.serialize(), {}};
    }

    Reply serveObject(const ServerRequest &request, const std::string &path)
    {
        if (request.method == "PUT") {
            this->objects[path] = request.body;
            return {};
        }
        const auto position = this->objects.find(path);
        if (position == this->objects.end())
            return {404, "{}", {}};
        return {200, position->second, {}};
    }
};

} // namespace

Service makePlatform()
{
    auto platform = std::make_shared<Platform>();
    return [platform](const ServerRequest &request) { return platform->serve(request); };
}

} // namespace standin
