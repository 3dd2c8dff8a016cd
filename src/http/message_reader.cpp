#include "http/message_reader.h"

#include <boost/beast/core/string.hpp>
#include <iterator>

namespace hornbeampick
{

bool hasKnownFraming(const boost::beast::http::fields &fields)
{
    const auto [first, last] = fields.equal_range(boost::beast::http::field::transfer_encoding);
    if (first == last) {
        return true;
    }
    return std::next(first) == last && boost::beast::iequals(first->value(), "chunked");
}

bool folded_field_finder::find(std::string_view bytes)
{
    for (const char byte : bytes) {
        switch (m_place) {
        case place::inLine:
            m_place = byte == '\r' ? place::afterReturn : place::inLine;
            break;
        case place::afterReturn:
            m_place = byte == '\n' ? place::lineStart : place::inLine;
            break;
        case place::lineStart:
            if (byte == ' ' || byte == '\t') {
                return true;
            }
            m_place = byte == '\r' ? place::afterReturnOfEmptyLine : place::inLine;
            break;
        case place::afterReturnOfEmptyLine:
            // The parser accepts no other byte here.
            m_place = place::afterHeader;
            break;
        case place::afterHeader:
            return false;
        }
    }
    return false;
}

} // namespace hornbeampick
