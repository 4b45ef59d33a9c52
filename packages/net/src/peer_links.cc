#include "peer_links.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/outcome/try.hpp>

#include "address.h"
#include "handshake.h"
#include "shallotlug/protocol/codec.h"

namespace shallotlug::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kLengthBytes = 4;
// Pause after a failed accept, for instance without free file descriptors.
constexpr Millis kAcceptRetry{100};

std::string EncodeLength(std::size_t size) {
  std::string text;
  for (std::size_t n = 0; n < kLengthBytes; ++n) {
    text += static_cast<char>(size >> (8 * n) & 0xff);
  }
  return text;
}

std::size_t DecodeLength(const std::array<unsigned char, kLengthBytes>& bytes) {
  std::size_t size = 0;
  for (std::size_t n = 0; n < kLengthBytes; ++n) {
    size |= static_cast<std::size_t>(bytes[n]) << (8 * n);
  }
  return size;
}

template <class Bytes>
std::string_view View(const Bytes& bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

struct PeerLinks::Impl : std::enable_shared_from_this<PeerLinks::Impl> {
  class Link;

  Impl(asio::io_context& io, PeerLinkOptions settings, CounterTable& table)
      : context(io),
        acceptor(io),
        accept_timer(io),
        options(std::move(settings)),
        counters(table) {}

  void Accept();
  void Count(const char* name, const std::string& reason) {
    counters.AddTo(name, {{"reason", reason}});
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  PeerLinkOptions options;
  CounterTable& counters;
  PeerLinkHandlers handlers;
  std::uint64_t next_link = 1;
  bool closed = false;
  std::size_t accepted = 0;
  /// Links in their handshake and links that are up.
  std::unordered_map<std::uint64_t, std::shared_ptr<Link>> links;
};

/// @brief One connection. It leaves the table when it closes, and its pending
/// operations then end without effect.
class PeerLinks::Impl::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(std::shared_ptr<Impl> owner, tcp::socket socket, std::uint64_t id)
      : owner_(std::move(owner)),
        socket_(std::move(socket)),
        timer_(owner_->context),
        id_(id) {}

  void StartDial(const shallotlug::Dial& dial) {
    dial_ = dial;
    remote_ = dial.address;
    StartTimer();
    const auto endpoint = ParseEndpoint(dial.address);
    if (!endpoint) {
      asio::post(owner_->context, [self = this->shared_from_this()] {
        self->Fail("bad_address");
      });
      return;
    }
    socket_.async_connect(
        endpoint.value(), [self = this->shared_from_this()](error_code ec) {
          if (ec) {
            self->Fail("connect_failed");
            return;
          }
          self->SetNoDelay();
          self->transcript_.dialler_nonce = MakeNonce();
          self->WriteHandshake(
              EncodeHello(kLinkVersion, self->transcript_.dialler_nonce),
              &Link::ReadAcceptorHello);
        });
  }

  void StartAccept() {
    error_code ec;
    const tcp::endpoint remote = socket_.remote_endpoint(ec);
    remote_ = ec ? "unknown" : ToString(remote);
    SetNoDelay();
    StartTimer();
    ReadHandshake(kHelloBytes, &Link::OnDiallerHello);
  }

  void Send(const Message& message) {
    if (!up_) {
      return;
    }
    std::string bytes = Encode(message);
    if (bytes.size() > owner_->options.frame_bytes) {
      owner_->counters.AddTo("shallotlug_link_oversized_messages_total");
      Log(LogLevel::kWarning, "link_message_too_large",
          {{"bytes", std::to_string(bytes.size())}});
      return;
    }
    owner_->counters.AddTo("shallotlug_link_messages_sent_total");
    queue_ += EncodeLength(bytes.size());
    queue_ += bytes;
    if (queue_.size() > owner_->options.queue_bytes) {
      Fail("send_queue_full");
      return;
    }
    if (!writing_) {
      WriteQueue();
    }
  }

  // Ends the link without an event.
  void Close(const std::string& reason) {
    if (closed_) {
      return;
    }
    if (up_) {
      owner_->Count("shallotlug_links_closed_total", reason);
    }
    Shut();
  }

  bool Flushed() const { return !writing_; }

 private:
  void SetNoDelay() {
    error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
  }

  void StartTimer() {
    timer_.expires_after(owner_->options.handshake_timeout);
    timer_.async_wait([self = this->weak_from_this()](error_code ec) {
      const auto link = self.lock();
      if (!ec && link && !link->up_) {
        link->Fail("handshake_timeout");
      }
    });
  }

  void WriteHandshake(std::string bytes, void (Link::*next)()) {
    handshake_ = std::move(bytes);
    asio::async_write(
        socket_, asio::buffer(handshake_),
        [self = this->shared_from_this(), next](error_code ec, std::size_t) {
          if (ec) {
            self->Fail("handshake_broken");
          } else if (!self->closed_) {
            ((*self).*next)();
          }
        });
  }

  void ReadHandshake(std::size_t size, void (Link::*next)()) {
    handshake_.assign(size, '\0');
    asio::async_read(
        socket_, asio::buffer(handshake_),
        [self = this->shared_from_this(), next](error_code ec, std::size_t) {
          if (ec) {
            self->Fail("handshake_broken");
          } else if (!self->closed_) {
            ((*self).*next)();
          }
        });
  }

  // Closes the link when the other end's hello is not acceptable.
  bool CheckHello(std::string_view bytes,
                  std::uint16_t& version,
                  Nonce& nonce) {
    switch (DecodeHello(bytes, version, nonce)) {
      case HelloFault::kNone:
        return true;
      case HelloFault::kGarbage:
        Fail("garbage");
        return false;
      case HelloFault::kOldVersion:
        Fail("old_version");
        return false;
    }
    return false;
  }

  Proof ProofOf(HandshakeRole role) const {
    return MakeProof(owner_->options.shared_key, role, transcript_);
  }

  void OnDiallerHello() {
    if (!CheckHello(handshake_, transcript_.dialler_version,
                    transcript_.dialler_nonce)) {
      return;
    }
    transcript_.acceptor_nonce = MakeNonce();
    WriteHandshake(EncodeHello(kLinkVersion, transcript_.acceptor_nonce) +
                       std::string(View(ProofOf(HandshakeRole::kAcceptor))),
                   &Link::ReadDiallerProof);
  }

  void ReadDiallerProof() { ReadHandshake(kProofBytes, &Link::OnDiallerProof); }

  void OnDiallerProof() {
    if (!SameBytes(handshake_, View(ProofOf(HandshakeRole::kDialler)))) {
      Fail("wrong_key");
      return;
    }
    // Only agents dial.
    BecomeUp(PeerRole::kAgent);
  }

  void ReadAcceptorHello() {
    ReadHandshake(kHelloBytes + kProofBytes, &Link::OnAcceptorHello);
  }

  void OnAcceptorHello() {
    const std::string_view bytes = handshake_;
    if (!CheckHello(bytes.substr(0, kHelloBytes), transcript_.acceptor_version,
                    transcript_.acceptor_nonce)) {
      return;
    }
    if (!SameBytes(bytes.substr(kHelloBytes),
                   View(ProofOf(HandshakeRole::kAcceptor)))) {
      Fail("wrong_key");
      return;
    }
    WriteHandshake(std::string(View(ProofOf(HandshakeRole::kDialler))),
                   &Link::OnDialled);
  }

  void OnDialled() { BecomeUp(dial_->peer); }

  void BecomeUp(PeerRole peer) {
    timer_.cancel();
    up_ = true;
    owner_->counters.AddTo("shallotlug_links_opened_total");
    owner_->handlers.on_up(
        {LinkId{id_}, peer, dial_ ? dial_->address : std::string()});
    ReadLength();
  }

  void ReadLength() {
    asio::async_read(
        socket_, asio::buffer(length_),
        [self = this->shared_from_this()](error_code ec, std::size_t) {
          if (self->closed_) {
            return;
          }
          if (ec) {
            self->Fail("broken");
            return;
          }
          self->ReadFrame(DecodeLength(self->length_));
        });
  }

  void ReadFrame(std::size_t size) {
    if (size == 0 || size > owner_->options.frame_bytes) {
      Fail("frame_size");
      return;
    }
    frame_.resize(size);
    asio::async_read(
        socket_, asio::buffer(frame_),
        [self = this->shared_from_this()](error_code ec, std::size_t) {
          if (self->closed_) {
            return;
          }
          if (ec) {
            self->Fail("broken");
            return;
          }
          self->OnFrame();
        });
  }

  void OnFrame() {
    auto message = Decode(frame_);
    if (message) {
      owner_->counters.AddTo("shallotlug_link_messages_received_total");
      owner_->handlers.on_received({LinkId{id_}, std::move(message.value())});
    } else if (message.error() == CodecError::kMalformed) {
      Fail("malformed_message");
      return;
    } else {
      // A newer version may send what this one does not know.
      owner_->counters.AddTo("shallotlug_link_unknown_messages_total");
    }
    if (!closed_) {
      ReadLength();
    }
  }

  void WriteQueue() {
    writing_ = true;
    sending_ = std::exchange(queue_, {});
    asio::async_write(
        socket_, asio::buffer(sending_),
        [self = this->shared_from_this()](error_code ec, std::size_t) {
          self->writing_ = false;
          if (self->closed_) {
            return;
          }
          if (ec) {
            self->Fail("broken");
          } else if (!self->queue_.empty()) {
            self->WriteQueue();
          }
        });
  }

  // Ends the link with an event. Whoever dials repeats a failed connect at a
  // fixed interval, so that only counters tell of it.
  void Fail(const std::string& reason) {
    if (closed_) {
      return;
    }
    if (up_) {
      owner_->Count("shallotlug_links_closed_total", reason);
    } else {
      owner_->Count("shallotlug_link_handshakes_failed_total", reason);
    }
    const bool quiet = reason == "connect_failed";
    Log(quiet ? LogLevel::kDebug : LogLevel::kWarning, "link_closed",
        {{"reason", reason}});
    const bool was_up = up_;
    const auto self = this->shared_from_this();
    Shut();
    if (was_up) {
      owner_->handlers.on_down(
          {LinkId{id_}, dial_ ? dial_->address : std::string()});
    } else if (dial_) {
      owner_->handlers.on_down({LinkId{}, dial_->address});
    }
  }

  void Shut() {
    closed_ = true;
    timer_.cancel();
    error_code ec;
    socket_.close(ec);
    if (!dial_) {
      --owner_->accepted;
    }
    owner_->links.erase(id_);
  }

  void Log(LogLevel level, const char* event, std::vector<Label> fields) {
    fields.push_back({"peer", remote_});
    owner_->handlers.on_log({level, event, std::move(fields)});
  }

  std::shared_ptr<Impl> owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::uint64_t id_;
  std::string remote_;
  std::optional<shallotlug::Dial> dial_;
  bool up_ = false;
  bool closed_ = false;
  bool writing_ = false;
  std::string handshake_;
  HandshakeTranscript transcript_;
  std::array<unsigned char, kLengthBytes> length_{};
  std::string frame_;
  std::string queue_;
  std::string sending_;
};

void PeerLinks::Impl::Accept() {
  acceptor.async_accept([self = shared_from_this()](error_code ec,
                                                    tcp::socket socket) {
    if (self->closed) {
      return;
    }
    if (ec) {
      self->accept_timer.expires_after(kAcceptRetry);
      self->accept_timer.async_wait([self](error_code error) {
        if (!error && !self->closed) {
          self->Accept();
        }
      });
      return;
    }
    if (self->accepted < self->options.accepted_links) {
      ++self->accepted;
      const std::uint64_t id = self->next_link++;
      const auto link = std::make_shared<Link>(self, std::move(socket), id);
      self->links[id] = link;
      link->StartAccept();
    } else {
      self->Count("shallotlug_link_handshakes_failed_total", "too_many_links");
    }
    self->Accept();
  });
}

PeerLinks::PeerLinks(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}
PeerLinks::PeerLinks(PeerLinks&&) noexcept = default;
PeerLinks& PeerLinks::operator=(PeerLinks&&) noexcept = default;

PeerLinks::~PeerLinks() {
  if (!impl_) {
    return;
  }
  impl_->closed = true;
  error_code ec;
  impl_->acceptor.close(ec);
  impl_->accept_timer.cancel();
  const auto links = impl_->links;
  for (const auto& [id, link] : links) {
    link->Close("shutdown");
  }
}

boost::outcome_v2::std_result<PeerLinks> PeerLinks::Open(
    asio::io_context& context,
    const PeerLinkOptions& options,
    CounterTable& counters,
    PeerLinkHandlers handlers) {
  auto impl = std::make_shared<Impl>(context, options, counters);
  impl->handlers = std::move(handlers);
  if (!options.listen.empty()) {
    BOOST_OUTCOME_TRY(auto acceptor, OpenAcceptor(context, options.listen));
    impl->acceptor = std::move(acceptor);
    impl->Accept();
  }
  return PeerLinks(std::move(impl));
}

void PeerLinks::Dial(const shallotlug::Dial& dial) {
  const std::uint64_t id = impl_->next_link++;
  const auto link =
      std::make_shared<Impl::Link>(impl_, tcp::socket(impl_->context), id);
  impl_->links[id] = link;
  link->StartDial(dial);
}

void PeerLinks::Send(LinkId link, const Message& message) {
  const auto it = impl_->links.find(static_cast<std::uint64_t>(link));
  if (it != impl_->links.end()) {
    const auto open = it->second;
    open->Send(message);
  }
}

void PeerLinks::Close(LinkId link, const std::string& reason) {
  const auto it = impl_->links.find(static_cast<std::uint64_t>(link));
  if (it != impl_->links.end()) {
    const auto open = it->second;
    open->Close(reason);
  }
}

bool PeerLinks::Flushed() const {
  for (const auto& [id, link] : impl_->links) {
    if (!link->Flushed()) {
      return false;
    }
  }
  return true;
}

std::string PeerLinks::Address() const {
  error_code ec;
  return ToString(impl_->acceptor.local_endpoint(ec));
}

}  // namespace shallotlug::net
