#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace geraniumpulley::core {

/// Immutable bytes that copies share.
class SharedBytes
{
public:
    SharedBytes() = default;
    SharedBytes(std::string bytes)
        : bytes(std::make_shared<const std::string>(std::move(bytes))) { }
    SharedBytes(const char *text) : SharedBytes(std::string(text)) { }

    [[nodiscard]] const std::string &str() const
    {
        static const std::string none;
        return this->bytes ? *this->bytes : none;
    }
    operator const std::string &() const { return this->str(); }
    [[nodiscard]] std::size_t size() const { return this->str().size(); }
    [[nodiscard]] bool empty() const { return this->str().empty(); }

    friend bool operator==(const SharedBytes &left, std::string_view right)
    {
        return left.str() == right;
    }

private:
    std::shared_ptr<const std::string> bytes;
};

} // namespace geraniumpulley::core
