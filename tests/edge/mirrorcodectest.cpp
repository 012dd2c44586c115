#include "edge/mirrorcodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;

namespace {

bool isSame(const StoredChange &one, const StoredChange &other)
{
    return one.key == other.key && one.revision == other.revision && one.value == other.value
        && one.created == other.created;
}

} // namespace

class MirrorCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MirrorCodecTest);
    CPPUNIT_TEST(newsAreDecodedAsEncoded);
    CPPUNIT_TEST(arbitraryNewsAreDecodedAsEncoded);
    CPPUNIT_TEST(responsesAreDecodedAsEncoded);
    CPPUNIT_TEST(pathsAreDecodedAsEncoded);
    CPPUNIT_TEST(responsesCutAnywhereAreRejected);
    CPPUNIT_TEST(newsWithoutAKeyOrAValueAreRejected);
    CPPUNIT_TEST(malformedBytesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void newsAreDecodedAsEncoded()
    {
        const std::string bytes("\0\xff{\"}", 5);
        const EncodedUpdate block =
            encodeUpdate({3, 9, false, {{"k", 4, bytes, 2}, {"gone", 5, std::nullopt}}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {3}, block.after);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {9}, block.asOf);
        const auto decoded = decodeUpdate(*block.bytes);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {3}, decoded->after);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {9}, decoded->asOf);
        CPPUNIT_ASSERT_EQUAL(bytes, *decoded->changes.at(0).value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, decoded->changes.at(0).created);
        CPPUNIT_ASSERT(!decoded->changes.at(1).value);
    }

    void arbitraryNewsAreDecodedAsEncoded()
    {
        const bool isOk = rc::check("arbitrary news are decoded as encoded", [] {
            MirrorUpdate news;
            news.after = *rc::gen::arbitrary<std::uint64_t>();
            news.asOf = *rc::gen::arbitrary<std::uint64_t>();
            for (const auto &key : *rc::gen::arbitrary<std::vector<std::string>>()) {
                StoredChange change {"k" + key, *rc::gen::arbitrary<std::uint64_t>(), {}, 7};
                if (*rc::gen::arbitrary<bool>()) {
                    change.value = *rc::gen::arbitrary<std::string>();
                }
                news.changes.push_back(change);
            }
            const auto decoded = decodeUpdate(*encodeUpdate(news).bytes);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded->after == news.after);
            RC_ASSERT(decoded->asOf == news.asOf);
            RC_ASSERT(std::ranges::equal(decoded->changes, news.changes, isSame));
        });
        CPPUNIT_ASSERT(isOk);
    }

    void responsesAreDecodedAsEncoded()
    {
        MirrorResponse response;
        response.blocks = {"one", std::string(2, '\0')};
        response.age = std::chrono::milliseconds(250);
        response.heldFor = std::chrono::milliseconds(3);
        response.alternativePeers = {"10.0.0.1:1"};
        const auto decoded = decodeResponse(encodeResponse(response));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(decoded->blocks == response.blocks);
        CPPUNIT_ASSERT(decoded->age == response.age);
        CPPUNIT_ASSERT(decoded->heldFor == response.heldFor);
        CPPUNIT_ASSERT(decoded->alternativePeers == response.alternativePeers);
        CPPUNIT_ASSERT(!decodeResponse(encodeResponse({}))->age.has_value());
        CPPUNIT_ASSERT(!decoded->isCurrent.has_value());
        response.isCurrent = false;
        response.contactAge = std::chrono::milliseconds(40);
        const auto extended = decodeResponse(encodeResponse(response));
        CPPUNIT_ASSERT(extended.has_value());
        CPPUNIT_ASSERT(extended->blocks == response.blocks);
        CPPUNIT_ASSERT(extended->isCurrent == response.isCurrent);
        CPPUNIT_ASSERT(extended->contactAge == response.contactAge);
    }

    /** Guards against a node that does not find itself on the path of its source. */
    void pathsAreDecodedAsEncoded()
    {
        MirrorResponse response;
        response.isCurrent = true;
        CPPUNIT_ASSERT(!decodeResponse(encodeResponse(response))->path.has_value());
        for (const SourcePath &path :
             {SourcePath(), SourcePath({SourcePath::idOf("10.0.0.1:1"), 7}),
              SourcePath({1}, false).extendedBy(SourcePath::idOf("10.0.0.2:1"))}) {
            response.path = path;
            const auto decoded = decodeResponse(encodeResponse(response));
            CPPUNIT_ASSERT(decoded && decoded->path == path);
        }
        CPPUNIT_ASSERT(response.path->contains(SourcePath::idOf("10.0.0.2:1")));
        CPPUNIT_ASSERT(!response.path->isComplete());
    }

    /** Guards against half of an answer of a node that was killed. */
    void responsesCutAnywhereAreRejected()
    {
        MirrorResponse response;
        response.blocks = {"one"};
        response.isCurrent = true;
        response.path = SourcePath({1, 2});
        const std::string whole = encodeResponse(response);
        for (std::size_t size = 0; size < whole.size(); ++size) {
            CPPUNIT_ASSERT(!decodeResponse(whole.substr(0, size)).has_value());
        }
    }

    /** Guards against a full copy in which an item without a value would remove one. */
    void newsWithoutAKeyOrAValueAreRejected()
    {
        CPPUNIT_ASSERT(!decodeUpdate(*encodeUpdate({0, 1, true, {{"a", 1, std::nullopt}}}).bytes));
        CPPUNIT_ASSERT(!decodeUpdate(*encodeUpdate({0, 1, false, {{"", 1, "v"}}}).bytes));
    }

    /** Guards against a crash by truncated or corrupted bytes. */
    void malformedBytesAreRejected()
    {
        CPPUNIT_ASSERT(!decodeUpdate("").has_value());
        CPPUNIT_ASSERT(!decodeUpdate("[]").has_value());
        CPPUNIT_ASSERT(!decodeResponse("").has_value());
        CPPUNIT_ASSERT(!decodeResponse("{}").has_value());
        const bool isOk = rc::check("corrupted bytes are decoded or rejected", [] {
            std::string block = *encodeUpdate({1, 2, false, {{"key", 2, "value"}}}).bytes;
            std::string response = encodeResponse({{block}, Duration(1), Duration(2), {"a:1"}});
            for (std::string *bytes : {&block, &response}) {
                const auto place = *rc::gen::inRange<std::size_t>(0, bytes->size());
                (*bytes)[place] = *rc::gen::arbitrary<char>();
                bytes->resize(*rc::gen::inRange<std::size_t>(0, bytes->size() + 1));
            }
            decodeUpdate(block);
            decodeResponse(response);
        });
        CPPUNIT_ASSERT(isOk);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MirrorCodecTest);
