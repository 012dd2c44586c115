#include "mirrorexchange.h"

#include <msgpack.hpp>
#include <zstd.h>

#include <memory>
#include <string_view>

namespace indigoway {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

/** Other versions are not read. */
constexpr std::uint32_t Version = 1;
constexpr int CompressionLevel = 1;
/** Unpacked; guards against a block that claims to be larger than a node's memory. */
constexpr unsigned long long MostUnpackedBytes = 64ULL * 1024 * 1024;

// Members of the arrays, by their place.
enum BlockMember : std::uint32_t { BlockVersion, After, AsOf, IsWhole, Changes, BlockMembers };
enum ChangeMember : std::uint32_t { Key, Revision, Value, Created, ChangeMembers };
enum AnswerMember : std::uint32_t { AnswerVersion, Age, Held, Blocks, Elsewhere, AnswerMembers };

void packBytes(Packer &packer, std::string_view bytes)
{
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
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

std::string compressed(std::string_view text)
{
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    bytes.resize(
        ZSTD_compress(bytes.data(), bytes.size(), text.data(), text.size(), CompressionLevel));
    return bytes;
}

std::optional<std::string> decompressed(std::string_view bytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size > MostUnpackedBytes) { // Above any size, too, where it is not known.
        return std::nullopt;
    }
    std::string text(size, '\0');
    const std::size_t read = ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(read) != 0 || read != size) {
        return std::nullopt;
    }
    return text;
}

/** Nothing if @p object is no array of @p least members or more. */
const msgpack::object *membersOf(const msgpack::object &object, std::uint32_t least)
{
    const bool isArray = object.type == msgpack::type::ARRAY && object.via.array.size >= least;
    return isArray ? object.via.array.ptr : nullptr;
}

/** Throws msgpack::type_error, as all readers below do, if it is none. */
std::string bytesIn(const msgpack::object &object)
{
    if (object.type != msgpack::type::BIN) {
        throw msgpack::type_error();
    }
    return {object.via.bin.ptr, object.via.bin.size};
}

template <typename Value, typename Read>
std::vector<Value> listIn(const msgpack::object &object, const Read &read)
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

StoredChange changeIn(const msgpack::object &object)
{
    const msgpack::object *members = membersOf(object, ChangeMembers);
    if (!members) {
        throw msgpack::type_error();
    }
    StoredChange change;
    change.key = bytesIn(members[Key]);
    change.revision = members[Revision].as<std::uint64_t>();
    if (!members[Value].is_nil()) {
        change.value = bytesIn(members[Value]);
    }
    change.created = members[Created].as<std::uint64_t>();
    return change;
}

bool isUsable(const MirrorUpdate &news)
{
    for (const StoredChange &change : news.changes) {
        if (change.key.empty() || (news.isSnapshot && !change.value)) {
            return false;
        }
    }
    return true;
}

/** Reads with @p read what is packed in @p text; nothing if it is not that. */
template <typename Result, typename Read>
std::optional<Result> unpacked(std::string_view text, std::uint32_t leastMembers, const Read &read)
{
    try {
        const auto handle = msgpack::unpack(text.data(), text.size());
        const msgpack::object *members = membersOf(handle.get(), leastMembers);
        if (!members || members[0].as<std::uint32_t>() != Version) {
            return std::nullopt;
        }
        return read(members);
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

std::string_view textOf(const msgpack::sbuffer &buffer)
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
            std::make_shared<const std::string>(compressed(textOf(buffer)))};
}

std::optional<MirrorUpdate> decodeUpdate(const std::string &bytes)
{
    const auto text = decompressed(bytes);
    if (!text) {
        return std::nullopt;
    }
    auto news = unpacked<MirrorUpdate>(*text, BlockMembers, [](const msgpack::object *members) {
        return MirrorUpdate {members[After].as<std::uint64_t>(), members[AsOf].as<std::uint64_t>(),
                             members[IsWhole].as<bool>(),
                             listIn<StoredChange>(members[Changes], changeIn)};
    });
    return news && isUsable(*news) ? std::move(news) : std::nullopt;
}

std::string encodeAnswer(const MirrorAnswer &answer)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(AnswerMembers);
    packer.pack(Version);
    if (answer.age) {
        packer.pack(std::int64_t {answer.age->count()});
    } else {
        packer.pack_nil();
    }
    packer.pack(std::int64_t {answer.held.count()});
    for (const auto *list : {&answer.blocks, &answer.elsewhere}) {
        packer.pack_array(static_cast<std::uint32_t>(list->size()));
        for (const std::string &one : *list) {
            packBytes(packer, one);
        }
    }
    return std::string(textOf(buffer));
}

std::optional<MirrorAnswer> decodeAnswer(const std::string &bytes)
{
    return unpacked<MirrorAnswer>(bytes, AnswerMembers, [](const msgpack::object *members) {
        MirrorAnswer answer;
        if (!members[Age].is_nil()) {
            answer.age = Duration(members[Age].as<std::int64_t>());
        }
        answer.held = Duration(members[Held].as<std::int64_t>());
        answer.blocks = listIn<std::string>(members[Blocks], bytesIn);
        answer.elsewhere = listIn<std::string>(members[Elsewhere], bytesIn);
        return answer;
    });
}

} // namespace indigoway
