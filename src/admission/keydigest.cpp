#include <indigoway/organisation.h>

#include <openssl/sha.h>

namespace indigoway {

KeyDigest digestOf(std::string_view key)
{
    KeyDigest digest {};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

} // namespace indigoway
