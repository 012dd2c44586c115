#include "deployments.h"

#include <sstream>

namespace indigoway::fakes {

void addSmallDeployment(World &world, const SmallDeployment &deployment)
{
    std::string text = "model m " + deployment.modelAttributes
        + "\nservice s prefix /s/ patience 30s\n"
          "pool prefill role prefill target m\npool decode role decode target m\n"
          "pool workers role service target s\n";
    int host = 1;
    const auto add = [&](const std::string &prefix, const std::string &pool, int count,
                         std::uint32_t slots) {
        for (int i = 0; i < count; ++i) {
            const std::string name = prefix + std::to_string(i);
            std::ostringstream line;
            line << "server " << name << " pool " << pool << " address 10.1.0." << host++
                 << ":8000 domain hall-a slots " << slots << '\n';
            text += line.str();
            world.addEngine(name, deployment.engine);
        }
    };
    add("p", "prefill", deployment.prefills, 1);
    add("d", "decode", deployment.decodes, deployment.slots);
    add("w", "workers", deployment.workers, deployment.slots);
    world.preload(text);
}

RequestSpec modelRequest(std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    RequestSpec spec;
    spec.target = TargetName("m");
    spec.promptTokens = promptTokens;
    spec.maxOutputTokens = outputTokens;
    return spec;
}

RequestSpec onceRequest(const std::string &key, std::uint32_t promptTokens,
                        std::uint32_t outputTokens)
{
    RequestSpec spec = modelRequest(promptTokens, outputTokens);
    spec.repeatable = false;
    spec.idempotencyKey = key;
    return spec;
}

RequestSpec serviceRequest()
{
    RequestSpec spec;
    spec.target = TargetName("s");
    spec.isService = true;
    return spec;
}

} // namespace indigoway::fakes
