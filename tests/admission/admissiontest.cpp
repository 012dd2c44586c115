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

Admission judge(const RouteTable &table, const char *host, std::optional<std::string> key,
                std::optional<Duration> age = 1s, std::optional<Duration> most = 5s)
{
    Credentials credentials;
    if (key) {
        credentials.key = digestOf(*key);
    }
    return admit(table, *table.find(host, "/"), credentials, age, most);
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
    CPPUNIT_TEST(aKeyNamesItsOrganisation);
    CPPUNIT_TEST(withoutAKnownKeyNothingIsServed);
    CPPUNIT_TEST(openRoutesWantNoKey);
    CPPUNIT_TEST(withoutOrganisationsNobodyWantsKeys);
    CPPUNIT_TEST(anOldCopyDecidesNothing);
    CPPUNIT_TEST(whereRevocationHasNoBoundAnyCopyWillDo);
    CPPUNIT_TEST_SUITE_END();

public:
    void aKeyNamesItsOrganisation()
    {
        const RouteTable table = tableWith(true);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), organisationOf(judge(table, "closed", "k1")));
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), organisationOf(judge(table, "closed", "k2")));
    }

    void withoutAKnownKeyNothingIsServed()
    {
        const RouteTable table = tableWith(true);
        for (const auto &key : {std::optional<std::string>("k3"), std::optional<std::string>(""),
                                std::optional<std::string>()}) {
            CPPUNIT_ASSERT(std::holds_alternative<UnknownKey>(judge(table, "closed", key)));
        }
    }

    void openRoutesWantNoKey()
    {
        const RouteTable table = tableWith(true);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), organisationOf(judge(table, "open", {})));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), organisationOf(judge(table, "open", "k3")));
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), organisationOf(judge(table, "open", "k1")));
        CPPUNIT_ASSERT_EQUAL(std::string("none"),
                             organisationOf(judge(table, "open", {}, std::nullopt)));
    }

    void withoutOrganisationsNobodyWantsKeys()
    {
        const RouteTable table = tableWith(false);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), organisationOf(judge(table, "closed", {})));
        CPPUNIT_ASSERT_EQUAL(std::string("none"),
                             organisationOf(judge(table, "closed", "k1", std::nullopt)));
    }

    // A node has not heard of the store for longer than a key may outlive its end. The key it
    // knows may have been taken away, and one it does not know may have been added: the caller is
    // told to come back, and neither served nor told that its key is unknown.
    void anOldCopyDecidesNothing()
    {
        const RouteTable table = tableWith(true);
        for (const char *key : {"k1", "k3"}) {
            CPPUNIT_ASSERT(std::holds_alternative<CopyTooOld>(judge(table, "closed", key, 5001ms)));
            CPPUNIT_ASSERT(
                std::holds_alternative<CopyTooOld>(judge(table, "closed", key, std::nullopt)));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("o1"),
                             organisationOf(judge(table, "closed", "k1", 5000ms)));
    }

    void whereRevocationHasNoBoundAnyCopyWillDo()
    {
        const RouteTable table = tableWith(true);
        CPPUNIT_ASSERT_EQUAL(
            std::string("o1"),
            organisationOf(judge(table, "closed", "k1", std::nullopt, std::nullopt)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
