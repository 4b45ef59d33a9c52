#include "shallotlug/net/http_server.h"

#include <utility>

#include <boost/outcome/try.hpp>

#include "address.h"
#include "http_server_impl.h"

namespace shallotlug::net {

namespace {

// Bound of what the system holds of a connection that is not read.
constexpr int kReceiveBufferBytes = 64 * 1024;
// A caller that does not take its response for this long gives way to a new
// connection when there is none left.
constexpr Millis kStalledWrite{5'000};
// Connections beyond the limit that are kept for as long as their error takes.
constexpr std::size_t kRejectedConnections = 64;
// Pause after a failed accept, for instance without free file descriptors.
constexpr Millis kAcceptRetry{100};

}  // namespace

void HttpServer::Impl::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](error_code ec, tcp::socket socket) {
        if (!self->acceptor.is_open()) {
          return;
        }
        if (ec) {
          self->OnAcceptFailed();
          return;
        }
        const bool reject =
            self->Open() >= self->options.connections && !self->CloseOne();
        if (!reject || self->rejected < kRejectedConnections) {
          const auto session =
              std::make_shared<Session>(self, std::move(socket), reject);
          if (reject) {
            ++self->rejected;
          } else {
            self->sessions[session.get()] = session;
          }
          session->Start();
        }
        self->Accept();
      });
}

// The process may have no free descriptor.
void HttpServer::Impl::OnAcceptFailed() {
  CloseOne();
  accept_timer.expires_after(kAcceptRetry);
  accept_timer.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec) {
      self->Accept();
    }
  });
}

void HttpServer::Impl::Rejected(const std::string& reason) const {
  if (handlers.on_rejected) {
    handlers.on_rejected(reason);
  }
}

std::size_t HttpServer::Impl::Open() const {
  std::size_t n = 0;
  for (const State it :
       {State::kIdle, State::kReading, State::kHandling, State::kWriting}) {
    n += by_state[static_cast<std::size_t>(it)].size();
  }
  return n;
}

bool HttpServer::Impl::CloseOne() {
  for (const State it : {State::kIdle, State::kReading, State::kWriting}) {
    const SessionList& list = by_state[static_cast<std::size_t>(it)];
    if (list.empty() || (it == State::kWriting &&
                         list.front()->SinceChange() < kStalledWrite)) {
      continue;
    }
    Rejected("connection_closed");
    // It may be destroyed when it is closed.
    const auto session = sessions.at(list.front()).lock();
    if (session) {
      session->Close();
    }
    return session != nullptr;
  }
  return false;
}

void HttpServer::Impl::Close() {
  error_code ec;
  acceptor.close(ec);
  accept_timer.cancel();
}

HttpServer::HttpServer(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}
HttpServer::HttpServer(HttpServer&&) noexcept = default;
HttpServer& HttpServer::operator=(HttpServer&&) noexcept = default;

HttpServer::~HttpServer() {
  if (!impl_) {
    return;
  }
  impl_->Close();
  impl_->handlers = {};
  impl_->waiting.clear();
  const auto sessions = impl_->sessions;
  for (const auto& [key, it] : sessions) {
    if (const auto session = it.lock()) {
      session->Close();
    }
  }
}

boost::outcome_v2::std_result<HttpServer> HttpServer::Listen(
    asio::io_context& context,
    const HttpServerOptions& options,
    HttpServerHandlers handlers) {
  BOOST_OUTCOME_TRY(auto acceptor, OpenAcceptor(context, options.address));
  error_code ignored;
  acceptor.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  auto impl = std::make_shared<Impl>(context, std::move(acceptor), options);
  impl->handlers = std::move(handlers);
  impl->Accept();
  return HttpServer(std::move(impl));
}

void HttpServer::Reply(ExchangeId id, HttpResponse response) {
  const auto it = impl_->waiting.find(static_cast<std::uint64_t>(id));
  if (it == impl_->waiting.end()) {
    return;
  }
  const auto session = it->second;
  session->Reply(static_cast<std::uint64_t>(id), std::move(response));
}

void HttpServer::Abort(ExchangeId id) {
  const auto it = impl_->waiting.find(static_cast<std::uint64_t>(id));
  if (it != impl_->waiting.end()) {
    const auto session = it->second;
    impl_->waiting.erase(it);
    session->Close();
  }
}

void HttpServer::Drain() {
  impl_->draining = true;
  impl_->Close();
  const auto sessions = impl_->sessions;
  for (const auto& [key, it] : sessions) {
    if (const auto session = it.lock()) {
      session->CloseIfIdle();
    }
  }
}

std::string HttpServer::Address() const {
  error_code ec;
  return ToString(impl_->acceptor.local_endpoint(ec));
}

std::size_t HttpServer::Connections() const {
  return impl_->sessions.size();
}

}  // namespace shallotlug::net
