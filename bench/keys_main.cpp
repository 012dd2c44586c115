#include "admission/admission.h"
#include "routing/routetable.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

/** What keys cost a node: memory of a routing table with many, and the time to judge one. */
namespace {

using namespace indigoway;

constexpr int Organisations = 1300;
constexpr int KeysOfEach = 77;
constexpr int LookUps = 200'000;

std::string keyOf(int organisation, int key)
{
    return "key-" + std::to_string(organisation) + "-" + std::to_string(key);
}

RoutingState stateWithKeys()
{
    RoutingState state;
    state.wantsKeys = true;
    Route route;
    route.host = "site.example";
    route.prefix = "/";
    state.routes = {route};
    for (int number = 0; number < Organisations; ++number) {
        Organisation organisation;
        organisation.name = OrganisationName("organisation-" + std::to_string(number));
        for (int key = 0; key < KeysOfEach; ++key) {
            organisation.keys.push_back(digestOf(keyOf(number, key)));
        }
        state.organisations.push_back(std::move(organisation));
    }
    return state;
}

/** Resident memory of this process, in bytes. */
double residentBytes()
{
    constexpr double PageBytes = 4096;
    std::ifstream file("/proc/self/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * PageBytes;
}

double microseconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

} // namespace

int main()
{
    const double before = residentBytes();
    const auto begun = std::chrono::steady_clock::now();
    const RouteTable table(stateWithKeys());
    const auto built = std::chrono::steady_clock::now();
    constexpr double BytesPerMegabyte = 1e6;
    std::printf("keys %d, organisations %d: built in %.0f ms, %.1f MB\n",
                Organisations * KeysOfEach, Organisations, microseconds(built - begun) / 1000,
                (residentBytes() - before) / BytesPerMegabyte);
    const Route &route = *table.find("site.example", "/");
    int admitted = 0;
    for (int i = 0; i < LookUps; ++i) {
        // Every other one is nobody's.
        const Credentials credentials {digestOf(keyOf(i % Organisations, i % (2 * KeysOfEach)))};
        const Admission admission = admit(table, route, credentials, {}, {});
        admitted += std::holds_alternative<Admitted>(admission) ? 1 : 0;
    }
    const auto ended = std::chrono::steady_clock::now();
    std::printf("a key judged in %.2f us, its digest included; %d of %d known\n",
                microseconds(ended - built) / LookUps, admitted, LookUps);
    return 0;
}
