#pragma once

#include "fakes/world.h"

#include <string>

namespace indigoway::fakes {

/** A small deployment for tests: declarations and the engines that fit them. */
struct SmallDeployment
{
    int prefills = 2;
    int decodes = 2;
    int workers = 2;
    std::uint32_t slots = 4;
    std::string modelAttributes = "first-token 5s between-tokens 200ms patience 2min";
    FakeEngineSettings engine {.slots = 4,
                               .prefillSpeed = 10'000,
                               .tokenTime = std::chrono::milliseconds(20),
                               .lump = std::chrono::milliseconds(100)};
};

/** Adds the engines p0.., d0.. and workers w0.. and preloads the declarations. */
void addSmallDeployment(World &world, const SmallDeployment &deployment);

/** A request to the small deployment's model. */
RequestSpec modelRequest(std::uint32_t promptTokens, std::uint32_t outputTokens);
/** The same, not to be repeated. */
RequestSpec onceRequest(const std::string &key, std::uint32_t promptTokens,
                        std::uint32_t outputTokens);
/** A request to the small deployment's plain service. */
RequestSpec serviceRequest();

} // namespace indigoway::fakes
