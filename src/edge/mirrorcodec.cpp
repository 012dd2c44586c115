#include "mirrorcodec.h"

#include <msgpack.hpp>
#include <zstd.h>

#include <memory>
#include <string_view>

namespace indigoway {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::uint32_t Version = 1;
constexpr int CompressionLevel = 1;
/** Guards against a block that declares an uncompressed size larger than a node's memory. */
constexpr unsigned long long MaxUnpackedBytes = 64ULL * 1024 * 1024;

// Indices of the members in the arrays.
enum BlockMember : std::uint32_t { BlockVersion, After, AsOf, IsWhole, Changes, BlockMembers };
enum ChangeMember : std::uint32_t { Key, Revision, Value, Created, ChangeMembers };
enum ResponseMember : std::uint32_t {
    ResponseVersion,
    Age,
    HeldFor,
    Blocks,
    AlternativePeers,
    ResponseMembers,
    IsCurrent = ResponseMembers, ///< Absent in responses of earlier versions.
    ContactAge,
    ResponseMembersWithState,
    PathNodes = ResponseMembersWithState, ///< Nil: no path.
    IsPathComplete,
    ResponseMembersNow
};

void packBytes(Packer &packer, std::string_view bytes)
{
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

void packDuration(Packer &packer, const std::optional<Duration> &duration)
{
    if (duration) {
        packer.pack(std::int64_t {duration->count()});
    } else {
        packer.pack_nil();
    }
}

std::optional<Duration> readDuration(const msgpack::object &object)
{
    return object.is_nil() ? std::nullopt : std::optional(Duration(object.as<std::int64_t>()));
}

void packPath(Packer &packer, const std::optional<SourcePath> &path)
{
    if (path) {
        packer.pack(path->nodes());
    } else {
        packer.pack_nil();
    }
    packer.pack(path && path->isComplete());
}

void packChange(Packer &packer, const StoredChange &change)
{
    packer.pack_array(ChangeMembers);
    packBytes(packer, change.key);
    packer.pack(change.revision);
    if (change.value) {
        packBytes(packer, *change.value);
    } else {
        packer.pack_nil();
    }
    packer.pack(change.created);
}

std::string compress(std::string_view text)
{
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    bytes.resize(
        ZSTD_compress(bytes.data(), bytes.size(), text.data(), text.size(), CompressionLevel));
    return bytes;
}

std::optional<std::string> decompress(std::string_view bytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size > MaxUnpackedBytes) { // The values for an unknown size and an error are larger, too.
        return std::nullopt;
    }
    std::string text(size, '\0');
    const std::size_t read = ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(read) != 0 || read != size) {
        return std::nullopt;
    }
    return text;
}

/** Returns the members of an array; null if @p object is none of at least @p minCount members. */
const msgpack::object *membersOf(const msgpack::object &object, std::uint32_t minCount)
{
    const bool isArray = object.type == msgpack::type::ARRAY && object.via.array.size >= minCount;
    return isArray ? object.via.array.ptr : nullptr;
}

/** Reads a byte string. Like the readers below, throws msgpack::type_error on any other type. */
std::string readBytes(const msgpack::object &object)
{
    if (object.type != msgpack::type::BIN) {
        throw msgpack::type_error();
    }
    return {object.via.bin.ptr, object.via.bin.size};
}

template <typename Value, typename Read>
std::vector<Value> readList(const msgpack::object &object, const Read &read)
{
    if (object.type != msgpack::type::ARRAY) {
        throw msgpack::type_error();
    }
    std::vector<Value> list;
    list.reserve(object.via.array.size);
    for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
        list.push_back(read(object.via.array.ptr[i]));
    }
    return list;
}

StoredChange readChange(const msgpack::object &object)
{
    const msgpack::object *members = membersOf(object, ChangeMembers);
    if (!members) {
        throw msgpack::type_error();
    }
    StoredChange change;
    change.key = readBytes(members[Key]);
    change.revision = members[Revision].as<std::uint64_t>();
    if (!members[Value].is_nil()) {
        change.value = readBytes(members[Value]);
    }
    change.created = members[Created].as<std::uint64_t>();
    return change;
}

bool isValid(const MirrorUpdate &news)
{
    for (const StoredChange &change : news.changes) {
        if (change.key.empty() || (news.isSnapshot && !change.value)) {
            return false;
        }
    }
    return true;
}

/** Unpacks an array of this version and applies @p read to it; nothing if it is malformed. */
template <typename Result, typename Read>
std::optional<Result> unpackMembers(std::string_view text, std::uint32_t minCount, const Read &read)
{
    try {
        const auto handle = msgpack::unpack(text.data(), text.size());
        const msgpack::object *members = membersOf(handle.get(), minCount);
        if (!members || members[0].as<std::uint32_t>() != Version) {
            return std::nullopt;
        }
        return read(members, handle.get().via.array.size);
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

std::string_view viewOf(const msgpack::sbuffer &buffer)
{
    return {buffer.data(), buffer.size()};
}

} // namespace

EncodedUpdate encodeUpdate(const MirrorUpdate &news)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(BlockMembers);
    packer.pack(Version);
    packer.pack(news.after);
    packer.pack(news.asOf);
    packer.pack(news.isSnapshot);
    packer.pack_array(static_cast<std::uint32_t>(news.changes.size()));
    for (const StoredChange &change : news.changes) {
        packChange(packer, change);
    }
    return {news.after, news.asOf, news.isSnapshot,
            std::make_shared<const std::string>(compress(viewOf(buffer)))};
}

std::optional<MirrorUpdate> decodeUpdate(const std::string &bytes)
{
    const auto text = decompress(bytes);
    if (!text) {
        return std::nullopt;
    }
    auto news = unpackMembers<MirrorUpdate>(
        *text, BlockMembers, [](const msgpack::object *members, std::uint32_t /*count*/) {
            return MirrorUpdate {members[After].as<std::uint64_t>(),
                                 members[AsOf].as<std::uint64_t>(), members[IsWhole].as<bool>(),
                                 readList<StoredChange>(members[Changes], readChange)};
        });
    return news && isValid(*news) ? std::move(news) : std::nullopt;
}

std::string encodeResponse(const MirrorResponse &response)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(response.isCurrent ? ResponseMembersNow : ResponseMembers);
    packer.pack(Version);
    packDuration(packer, response.age);
    packer.pack(std::int64_t {response.heldFor.count()});
    for (const auto *list : {&response.blocks, &response.alternativePeers}) {
        packer.pack_array(static_cast<std::uint32_t>(list->size()));
        for (const std::string &one : *list) {
            packBytes(packer, one);
        }
    }
    if (response.isCurrent) {
        packer.pack(*response.isCurrent);
        packDuration(packer, response.contactAge);
        packPath(packer, response.path);
    }
    return std::string(viewOf(buffer));
}

std::optional<MirrorResponse> decodeResponse(const std::string &bytes)
{
    return unpackMembers<MirrorResponse>(
        bytes, ResponseMembers, [](const msgpack::object *members, std::uint32_t count) {
            MirrorResponse response;
            response.age = readDuration(members[Age]);
            response.heldFor = Duration(members[HeldFor].as<std::int64_t>());
            response.blocks = readList<std::string>(members[Blocks], readBytes);
            response.alternativePeers = readList<std::string>(members[AlternativePeers], readBytes);
            if (count >= ResponseMembersWithState) {
                response.isCurrent = members[IsCurrent].as<bool>();
                response.contactAge = readDuration(members[ContactAge]);
            }
            if (count >= ResponseMembersNow && !members[PathNodes].is_nil()) {
                response.path.emplace(members[PathNodes].as<std::vector<SourcePath::NodeId>>(),
                                      members[IsPathComplete].as<bool>());
            }
            return response;
        });
}

} // namespace indigoway
