#include "contentid.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <memory>

namespace indigoway {

ContentId contentIdOf(const CallerRequest &request)
{
    // A 128-bit non-cryptographic hash is sufficient: accidental collisions are negligible, and a
    // caller that knows the content of another caller's request can also send it unchanged.
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    const auto add = [&](std::string_view part) {
        const std::uint64_t size = part.size(); // Distinguishes "ab" + "c" from "a" + "bc".
        XXH3_128bits_update(state.get(), &size, sizeof size);
        XXH3_128bits_update(state.get(), part.data(), part.size());
    };
    add(request.head.method);
    add(request.head.header("Host"));
    add(request.head.target);
    add(request.head.header("Authorization"));
    add(request.body.text());
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return ContentId(text.data());
}

} // namespace indigoway
