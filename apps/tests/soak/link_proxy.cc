#include "link_proxy.h"

#include <array>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace shallotlug::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Millis kPoll{10};
constexpr std::size_t kChunkBytes = 16UL * 1024;

tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

struct LinkProxy::Impl : std::enable_shared_from_this<LinkProxy::Impl> {
  struct Session {
    explicit Session(asio::io_context& context)
        : caller(context), server(context) {}

    void Close(bool reset) {
      for (tcp::socket* it : {&caller, &server}) {
        error_code ignored;
        if (reset) {
          it->set_option(asio::socket_base::linger(true, 0), ignored);
        }
        it->close(ignored);
      }
    }

    tcp::socket caller;
    tcp::socket server;
    bool silent = false;
  };
  using SessionPtr = std::shared_ptr<Session>;

  /// @brief One direction of a session.
  struct Pump {
    explicit Pump(asio::io_context& context) : timer(context) {}

    SessionPtr session;
    bool answers = false;
    std::array<char, kChunkBytes> buf{};
    std::size_t size = 0;
    asio::steady_timer timer;

    tcp::socket& From() { return answers ? session->server : session->caller; }
    tcp::socket& To() { return answers ? session->caller : session->server; }
  };
  using PumpPtr = std::shared_ptr<Pump>;

  Impl(asio::io_context& io, const std::string& to)
      : context(io),
        target(EndpointOf(to)),
        acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    const tcp::endpoint at = acceptor.local_endpoint();
    address = at.address().to_string() + ":" + std::to_string(at.port());
  }

  void Accept() {
    auto session = std::make_shared<Session>(context);
    acceptor.async_accept(session->caller, [self = shared_from_this(),
                                            session](const error_code& ec) {
      if (ec) {
        return;
      }
      self->sessions.push_back(session);
      self->Connect(session);
      self->Accept();
    });
  }

  void Connect(const SessionPtr& session) {
    session->server.async_connect(
        target, [self = shared_from_this(), session](const error_code& ec) {
          if (ec) {
            session->Close(true);
            return;
          }
          for (const bool answers : {false, true}) {
            auto pump = std::make_shared<Pump>(self->context);
            pump->session = session;
            pump->answers = answers;
            self->Read(pump);
          }
        });
  }

  void Read(const PumpPtr& pump) {
    pump->From().async_read_some(
        asio::buffer(pump->buf),
        [self = shared_from_this(), pump](const error_code& ec, std::size_t n) {
          if (ec) {
            self->Wait(pump, Millis(0), true);
            return;
          }
          pump->size = n;
          self->Wait(pump, self->delay, false);
        });
  }

  // A blocked direction tells neither bytes nor the end of the connection.
  void Wait(const PumpPtr& pump, Millis time, bool ended) {
    pump->timer.expires_after(time);
    pump->timer.async_wait(
        [self = shared_from_this(), pump, ended](const error_code& ec) {
          const bool blocked =
              pump->session->silent ||
              (pump->answers ? self->block_answers : self->block_requests);
          if (ec || !pump->session->caller.is_open()) {
            return;
          }
          if (blocked) {
            self->Wait(pump, kPoll, ended);
          } else if (ended) {
            pump->session->Close(false);
          } else {
            self->Write(pump);
          }
        });
  }

  void Write(const PumpPtr& pump) {
    asio::async_write(
        pump->To(), asio::buffer(pump->buf, pump->size),
        [self = shared_from_this(), pump](const error_code& ec, std::size_t) {
          if (ec) {
            pump->session->Close(false);
          } else {
            self->Read(pump);
          }
        });
  }

  asio::io_context& context;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::string address;
  std::vector<SessionPtr> sessions;
  bool block_requests = false;
  bool block_answers = false;
  Millis delay{0};
};

LinkProxy::LinkProxy(asio::io_context& context, const std::string& to)
    : impl_(std::make_shared<Impl>(context, to)) {
  impl_->Accept();
}

LinkProxy::~LinkProxy() {
  error_code ignored;
  impl_->acceptor.close(ignored);
  Reset();
}

const std::string& LinkProxy::Address() const {
  return impl_->address;
}

void LinkProxy::Block(bool requests, bool answers) {
  impl_->block_requests = requests;
  impl_->block_answers = answers;
}

void LinkProxy::Delay(Millis delay) {
  impl_->delay = delay;
}

void LinkProxy::Reset() {
  for (const auto& it : std::exchange(impl_->sessions, {})) {
    it->Close(true);
  }
}

void LinkProxy::SetDown(bool down) {
  if (!down) {
    impl_->acceptor.listen();
    impl_->Accept();
    return;
  }
  // A socket that is bound and does not listen keeps the port and refuses
  // connections.
  const tcp::endpoint at = impl_->acceptor.local_endpoint();
  impl_->acceptor.close();
  Reset();
  impl_->acceptor.open(at.protocol());
  impl_->acceptor.set_option(asio::socket_base::reuse_address(true));
  impl_->acceptor.bind(at);
}

void LinkProxy::SilenceOpen() {
  for (const auto& it : std::exchange(impl_->sessions, {})) {
    it->silent = true;
  }
}

}  // namespace shallotlug::soak
