#include "handshake.h"

#include <algorithm>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace shallotlug::net {
namespace {

void AppendVersion(std::string& out, std::uint16_t version) {
  out += static_cast<char>(version & 0xff);
  out += static_cast<char>(version >> 8);
}

template <class Bytes>
void AppendBytes(std::string& out, const Bytes& bytes) {
  out.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

}  // namespace

Nonce MakeNonce() {
  Nonce nonce{};
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
    throw std::runtime_error("the system's random generator failed");
  }
  return nonce;
}

Proof MakeProof(std::string_view key,
                HandshakeRole role,
                const HandshakeTranscript& transcript) {
  std::string text(kLinkMagic);
  text += static_cast<char>(role);
  AppendVersion(text, transcript.dialler_version);
  AppendVersion(text, transcript.acceptor_version);
  AppendBytes(text, transcript.dialler_nonce);
  AppendBytes(text, transcript.acceptor_nonce);
  Proof proof{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       proof.data(), &size);
  return proof;
}

bool SameBytes(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string EncodeHello(std::uint16_t version, const Nonce& nonce) {
  std::string text(kLinkMagic);
  AppendVersion(text, version);
  AppendBytes(text, nonce);
  return text;
}

HelloFault DecodeHello(std::string_view bytes,
                       std::uint16_t& version,
                       Nonce& nonce) {
  if (bytes.size() != kHelloBytes || !bytes.starts_with(kLinkMagic)) {
    return HelloFault::kGarbage;
  }
  const auto byte = [&bytes](std::size_t n) {
    return static_cast<unsigned char>(bytes[n]);
  };
  version = static_cast<std::uint16_t>(byte(kLinkMagic.size()) |
                                       byte(kLinkMagic.size() + 1) << 8);
  if (version < kOldestLinkVersion) {
    return HelloFault::kOldVersion;
  }
  std::copy_n(bytes.end() - kNonceBytes, kNonceBytes, nonce.begin());
  return HelloFault::kNone;
}

}  // namespace shallotlug::net
