#include <geraniumpulley/net/error.hpp>

#include <string>

namespace geraniumpulley::net {
namespace {

// A class with virtual functions, because `std::error_category` requires it.
class Category : public std::error_category
{
public:
    const char *name() const noexcept override { return "net"; }

    std::string message(int condition) const override
    {
        switch (static_cast<Errc>(condition)) {
        case Errc::BadAddress:
            return "not an address of the form ip:port";
        case Errc::ListenFailed:
            return "cannot listen on the address";
        }
        return "unknown net error";
    }
};

} // namespace

const std::error_category &errorCategory() noexcept
{
    static const Category category;
    return category;
}

std::error_code make_error_code(Errc error) noexcept
{
    return {static_cast<int>(error), errorCategory()};
}

} // namespace geraniumpulley::net
