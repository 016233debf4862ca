#include <geraniumpulley/codec/error.hpp>

#include <string>

namespace geraniumpulley::codec {
namespace {

// The class and its virtual functions are what `std::error_category` requires.
class CodecCategory : public std::error_category
{
public:
    const char *name() const noexcept override { return "codec"; }

    std::string message(int condition) const override
    {
        switch (static_cast<Errc>(condition)) {
        case Errc::NotJson:
            return "not JSON";
        case Errc::SchemaMismatch:
            return "a field is missing, unknown, or of a wrong type or range";
        case Errc::Truncated:
            return "the message ends before its declared end";
        }
        return "unknown codec error";
    }
};

} // namespace

const std::error_category &errorCategory() noexcept
{
    static const CodecCategory category;
    return category;
}

std::error_code make_error_code(Errc error) noexcept
{
    return {static_cast<int>(error), errorCategory()};
}

} // namespace geraniumpulley::codec
