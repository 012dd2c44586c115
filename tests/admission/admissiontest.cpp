#include "admission/admission.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace std::chrono_literals;

namespace {

RouteTable tableWith(bool wantsKeys)
{
    RoutingState state;
    state.version = 3;
    state.wantsKeys = wantsKeys;
    Route closed;
    closed.host = "closed";
    closed.prefix = "/";
    Route open = closed;
    open.host = "open";
    open.isOpen = true;
    state.routes = {closed, open};
    if (wantsKeys) {
        Organisation organisation;
        organisation.name = OrganisationName("o1");
        organisation.keys = {digestOf("k1"), digestOf("k2")};
        state.organisations = {organisation};
    }
    return RouteTable(std::move(state));
}

Admission admitWith(const RouteTable &table, const char *host, std::optional<std::string> key,
                    std::optional<Duration> copyAge = 1s, std::optional<Duration> maxCopyAge = 5s)
{
    Credentials credentials;
    if (key) {
        credentials.key = digestOf(*key);
    }
    return admit(table, *table.find(host, "/"), credentials, copyAge, maxCopyAge);
}

std::string organisationOf(const Admission &admission)
{
    const auto *admitted = std::get_if<Admitted>(&admission);
    CPPUNIT_ASSERT(admitted);
    return admitted->organisation ? admitted->organisation->name.text() : "none";
}

} // namespace

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(keyIdentifiesOrganisation);
    CPPUNIT_TEST(rejectsUnknownAndMissingKeys);
    CPPUNIT_TEST(openRoutesNeedNoKey);
    CPPUNIT_TEST(noKeysWithoutOrganisations);
    CPPUNIT_TEST(staleCopyDecidesNothing);
    CPPUNIT_TEST(unlimitedAgeAcceptsAnyCopy);
    CPPUNIT_TEST_SUITE_END();

public:
    void keyIdentifiesOrganisation()
    {
        const RouteTable table = tableWith(true);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), organisationOf(admitWith(table, "closed", "k1")));
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), organisationOf(admitWith(table, "closed", "k2")));
    }

    void rejectsUnknownAndMissingKeys()
    {
        const RouteTable table = tableWith(true);
        for (const auto &key : {std::optional<std::string>("k3"), std::optional<std::string>(""),
                                std::optional<std::string>()}) {
            CPPUNIT_ASSERT(std::holds_alternative<UnknownKey>(admitWith(table, "closed", key)));
        }
    }

    void openRoutesNeedNoKey()
    {
        const RouteTable table = tableWith(true);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), organisationOf(admitWith(table, "open", {})));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), organisationOf(admitWith(table, "open", "k3")));
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), organisationOf(admitWith(table, "open", "k1")));
        CPPUNIT_ASSERT_EQUAL(std::string("none"),
                             organisationOf(admitWith(table, "open", {}, std::nullopt)));
    }

    void noKeysWithoutOrganisations()
    {
        const RouteTable table = tableWith(false);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), organisationOf(admitWith(table, "closed", {})));
        CPPUNIT_ASSERT_EQUAL(std::string("none"),
                             organisationOf(admitWith(table, "closed", "k1", std::nullopt)));
    }

    // Guards against a stale copy that accepts a revoked key or rejects a new one.
    void staleCopyDecidesNothing()
    {
        const RouteTable table = tableWith(true);
        for (const char *key : {"k1", "k3"}) {
            CPPUNIT_ASSERT(
                std::holds_alternative<CopyTooOld>(admitWith(table, "closed", key, 5001ms)));
            CPPUNIT_ASSERT(
                std::holds_alternative<CopyTooOld>(admitWith(table, "closed", key, std::nullopt)));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("o1"),
                             organisationOf(admitWith(table, "closed", "k1", 5000ms)));
    }

    void unlimitedAgeAcceptsAnyCopy()
    {
        const RouteTable table = tableWith(true);
        CPPUNIT_ASSERT_EQUAL(
            std::string("o1"),
            organisationOf(admitWith(table, "closed", "k1", std::nullopt, std::nullopt)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
