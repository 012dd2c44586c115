#include <indigoway/ids.h>

#include <charconv>

namespace indigoway {

namespace {

/** Number of dot-separated numeric parts after the node name. */
constexpr int NumericParts = 3;

} // namespace

EngineRequestName engineRequestName(const NodeLife &owner, RequestNumber request,
                                    std::uint32_t attempt)
{
    return EngineRequestName(owner.node.text() + '.' + std::to_string(owner.incarnation.value())
                             + '.' + std::to_string(request.value()) + '.'
                             + std::to_string(attempt));
}

NodeLife ownerOf(const EngineRequestName &name)
{
    const std::string &text = name.text();
    std::uint64_t parts[NumericParts] = {};
    std::size_t end = text.size();
    for (int i = NumericParts - 1; i >= 0; --i) {
        if (end == 0) {
            return {};
        }
        const std::size_t dot = text.rfind('.', end - 1);
        if (dot == std::string::npos || dot == 0) {
            return {};
        }
        const char *first = text.data() + dot + 1;
        const char *last = text.data() + end;
        const auto [stop, error] = std::from_chars(first, last, parts[i]);
        if (error != std::errc {} || stop != last || first == last) {
            return {};
        }
        end = dot;
    }
    return {NodeName(text.substr(0, end)), Incarnation(parts[0])};
}

} // namespace indigoway
