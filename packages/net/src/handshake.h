#ifndef SHALLOTLUG_NET_SRC_HANDSHAKE_H_
#define SHALLOTLUG_NET_SRC_HANDSHAKE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// The handshake of links between our processes. Both ends prove that they know
/// the shared key without sending it:
///
///     dialler  -> acceptor  magic, version, dialler's nonce
///     acceptor -> dialler   magic, version, acceptor's nonce, acceptor's proof
///     dialler  -> acceptor  dialler's proof
///
/// A proof is HMAC-SHA256 over the role, both versions and both nonces, so that
/// it can neither be replayed nor reflected.
namespace shallotlug::net {

constexpr std::string_view kLinkMagic = "SHALLOT\n";
constexpr std::uint16_t kLinkVersion = 1;
/// Peers below it are closed.
constexpr std::uint16_t kOldestLinkVersion = 1;
constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kProofBytes = 32;
constexpr std::size_t kHelloBytes = 8 + 2 + kNonceBytes;

using Nonce = std::array<unsigned char, kNonceBytes>;
using Proof = std::array<unsigned char, kProofBytes>;

enum class HandshakeRole : unsigned char { kDialler = 1, kAcceptor = 2 };

/// @brief What both ends have said before the proofs.
struct HandshakeTranscript {
  std::uint16_t dialler_version = kLinkVersion;
  std::uint16_t acceptor_version = kLinkVersion;
  Nonce dialler_nonce{};
  Nonce acceptor_nonce{};
};

/// @brief Draws from the operating system; never repeats in practice.
Nonce MakeNonce();

Proof MakeProof(std::string_view key,
                HandshakeRole role,
                const HandshakeTranscript& transcript);

/// @brief Compares in constant time.
bool SameBytes(std::string_view a, std::string_view b);

/// @brief Magic, version in little-endian order and nonce.
std::string EncodeHello(std::uint16_t version, const Nonce& nonce);

enum class HelloFault { kNone, kGarbage, kOldVersion };

/// @brief Reads kHelloBytes bytes.
HelloFault DecodeHello(std::string_view bytes,
                       std::uint16_t& version,
                       Nonce& nonce);

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_SRC_HANDSHAKE_H_
