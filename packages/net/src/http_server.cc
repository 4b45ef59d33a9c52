#include "shallotlug/net/http_server.h"

#include <array>
#include <chrono>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/outcome/try.hpp>

#include "address.h"

namespace shallotlug::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint32_t kHeaderBytes = 16 * 1024;
constexpr std::size_t kReadAheadBytes = 4096;
// Bound of the read buffer, which holds a header, the trailers or a chunk's
// extensions as a whole until they are complete.
constexpr std::size_t kMaxBufferedBytes = 32'768;
// Bound of what the system holds of a connection that is not read.
constexpr int kReceiveBufferBytes = 64 * 1024;
// A response that is not taken within this time is given up.
constexpr Millis kWriteTimeout{30'000};
// After an error the rest of the request is read and dropped for this long,
// because closing with unread data resets the connection and can destroy the
// error on its way.
constexpr Millis kLingerTimeout{1'000};
// A caller that does not take its response for this long gives way to a new
// connection when there is none left.
constexpr Millis kStalledWrite{5'000};
// Connections beyond the limit that are kept for as long as their error takes.
constexpr std::size_t kRejectedConnections = 64;
// Pause after a failed accept, for instance without free file descriptors.
constexpr Millis kAcceptRetry{100};

HttpResponse ParseErrorResponse(const error_code& ec,
                                std::size_t body_bytes,
                                std::string& reason) {
  if (ec == http::error::body_limit) {
    reason = "body_too_large";
    return ErrorResponse(413, "invalid", reason,
                         "the body is larger than " +
                             std::to_string(body_bytes) +
                             " bytes; send a smaller one");
  }
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    reason = "header_too_large";
    return ErrorResponse(431, "invalid", reason,
                         "the header is larger than " +
                             std::to_string(kHeaderBytes) +
                             " bytes, or the trailers or extensions of a "
                             "chunk are as large; send fewer or shorter ones");
  }
  if (ec == http::error::partial_message || ec == asio::error::eof) {
    reason = "truncated";
    return ErrorResponse(400, "invalid", reason,
                         "the request ended before its declared length; "
                         "nothing was done, send it again whole");
  }
  reason = "malformed";
  return ErrorResponse(400, "invalid", reason,
                       "the request is no valid HTTP/1.1 message (" +
                           ec.message() + "); correct it and send it again");
}

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  class Session;

  Impl(asio::io_context& io, tcp::acceptor socket, HttpServerOptions settings)
      : context(io),
        acceptor(std::move(socket)),
        accept_timer(io),
        options(std::move(settings)) {
    if (!options.memory) {
      options.memory = std::make_shared<RequestMemory>();
    }
  }

  void Accept();
  void OnAcceptFailed();
  void Close();
  void Rejected(const std::string& reason) const;
  std::size_t Open() const;
  /// @brief Closes the connection that others need least: the one that is idle
  /// for longest, else the request that was begun first and is not complete,
  /// else the response that was not taken for longest.
  bool CloseOne();

  enum class State { kIdle, kReading, kHandling, kWriting, kClosed };
  static constexpr std::size_t kStates = 5;
  using SessionList = std::list<Session*>;

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  HttpServerOptions options;
  HttpServerHandlers handlers;
  std::uint64_t next_exchange = 1;
  bool draining = false;
  std::size_t rejected = 0;
  /// Connections within the limit, in the order in which they came into their
  /// state.
  std::array<SessionList, kStates> by_state;
  std::unordered_map<Session*, std::weak_ptr<Session>> sessions;
  std::unordered_map<std::uint64_t, std::shared_ptr<Session>> waiting;
};

/// @brief One connection. It holds itself alive through its pending operations.
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<Impl> server, tcp::socket socket, bool reject)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        timer_(server_->context),
        reject_(reject),
        buffer_(kMaxBufferedBytes) {
    auto& list = server_->by_state[static_cast<std::size_t>(state_)];
    place_ = reject_ ? list.end() : list.insert(list.end(), this);
  }

  ~Session() {
    if (reject_) {
      --server_->rejected;
    } else {
      server_->sessions.erase(this);
      server_->by_state[static_cast<std::size_t>(state_)].erase(place_);
    }
  }

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start() {
    error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    share_ = server_->options.memory->Open([self = this->weak_from_this()] {
      if (const auto session = self.lock()) {
        session->GiveWay();
      }
    });
    if (reject_) {
      WriteError("too_many_connections",
                 ErrorResponse(503, "not_run", "too_many_connections",
                               "this listener has all the connections that it "
                               "may have; nothing was done, try again later"));
      return;
    }
    WaitForRequest();
  }

  void Reply(std::uint64_t exchange, HttpResponse response) {
    if (state_ == State::kHandling && exchange == exchange_) {
      server_->waiting.erase(exchange_);
      Write(std::move(response), keep_alive_ && !server_->draining);
    }
  }

  void CloseIfIdle() {
    if (state_ == State::kIdle) {
      Close();
    }
  }

  /// @brief How long the connection has been in its state.
  Millis SinceChange() const {
    return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                              changed_at_);
  }

  void Close() {
    Enter(State::kClosed);
    timer_.cancel();
    error_code ec;
    socket_.close(ec);
  }

 private:
  void Enter(State state) {
    if (!reject_) {
      auto& from = server_->by_state[static_cast<std::size_t>(state_)];
      auto& to = server_->by_state[static_cast<std::size_t>(state)];
      to.splice(to.end(), from, place_);
    }
    state_ = state;
    changed_at_ = std::chrono::steady_clock::now();
  }

  void WaitForRequest() {
    if (state_ == State::kClosed) {
      return;
    }
    Enter(State::kIdle);
    share_.Release();
    parser_.reset();
    response_.reset();
    if (buffer_.size() == 0 && !filling_) {
      buffer_.shrink_to_fit();
    }
    if (server_->draining && buffer_.size() == 0) {
      Close();
      return;
    }
    if (filling_) {
      SetTimer(server_->options.idle_timeout, &Session::Close);
      if (buffer_.size() > 0) {
        // The next request is here; OnFilled goes on with it.
        error_code ec;
        socket_.cancel(ec);
      }
    } else if (buffer_.size() > 0) {
      ReadRequest();
    } else {
      SetTimer(server_->options.idle_timeout, &Session::Close);
      Fill();
    }
  }

  // Notices a caller that has gone, as long as it pipelines little.
  void ReadAhead() {
    if (buffer_.size() < kReadAheadBytes) {
      Fill();
    }
  }

  void Fill() {
    filling_ = true;
    socket_.async_read_some(
        buffer_.prepare(kReadAheadBytes),
        [self = this->shared_from_this()](error_code ec, std::size_t n) {
          self->OnFilled(ec, n);
        });
  }

  void OnFilled(error_code ec, std::size_t n) {
    filling_ = false;
    if (state_ == State::kClosed) {
      return;
    }
    if (ec && state_ == State::kIdle && buffer_.size() > 0) {
      ReadRequest();
      return;
    }
    if (ec) {
      if (state_ == State::kHandling) {
        server_->waiting.erase(exchange_);
        if (server_->handlers.on_gone) {
          server_->handlers.on_gone(ExchangeId{exchange_});
        }
      }
      if (state_ != State::kWriting) {
        Close();
      }
      return;
    }
    buffer_.commit(n);
    if (state_ == State::kIdle) {
      ReadRequest();
    } else if (state_ == State::kHandling) {
      ReadAhead();
    }
  }

  void ReadRequest() {
    Enter(State::kReading);
    timed_out_ = false;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kHeaderBytes);
    parser_->body_limit(server_->options.body_bytes);
    SetTimer(server_->options.read_timeout, &Session::OnReadTimeout);
    if (!HoldWhatWasRead()) {
      return;
    }
    http::async_read_header(
        socket_, buffer_, *parser_,
        [self = this->shared_from_this()](error_code ec, std::size_t) {
          self->OnHeader(ec);
        });
  }

  void OnReadTimeout() {
    timed_out_ = true;
    error_code ec;
    socket_.cancel(ec);
  }

  // Another connection needs the memory; the pending read ends with an error.
  void GiveWay() {
    if (state_ == State::kReading) {
      gave_way_ = true;
      error_code ec;
      socket_.cancel(ec);
    }
  }

  /// @brief Whether the memory has room for what was read of the request; it is
  /// refused otherwise.
  bool HoldWhatWasRead() {
    if (share_.Hold(buffer_.capacity() + parser_->get().body().size())) {
      return true;
    }
    RefuseForMemory();
    return false;
  }

  void RefuseForMemory() {
    timer_.cancel();
    WriteError("memory_limit",
               ErrorResponse(503, "not_run", "memory_limit",
                             "other requests need the memory of this process; "
                             "nothing was done, try again later"));
  }

  void OnHeader(error_code ec) {
    if (ec || gave_way_ || state_ != State::kReading || parser_->is_done()) {
      OnRequest(ec);
      return;
    }
    if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      static constexpr std::string_view kContinue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      asio::async_write(
          socket_, asio::buffer(kContinue),
          [self = this->shared_from_this()](error_code error, std::size_t) {
            if (error) {
              self->OnRequest(error);
            } else {
              self->ReadBody();
            }
          });
      return;
    }
    ReadBody();
  }

  void ReadBody() {
    if (state_ != State::kReading || !HoldWhatWasRead()) {
      return;
    }
    http::async_read_some(
        socket_, buffer_, *parser_,
        [self = this->shared_from_this()](error_code ec, std::size_t) {
          if (ec || self->gave_way_ || self->parser_->is_done()) {
            self->OnRequest(ec);
          } else {
            self->ReadBody();
          }
        });
  }

  void OnRequest(error_code ec) {
    if (state_ != State::kReading) {
      return;
    }
    timer_.cancel();
    if (gave_way_) {
      RefuseForMemory();
      return;
    }
    if (timed_out_) {
      WriteError("read_timeout",
                 ErrorResponse(
                     408, "not_run", "read_timeout",
                     "the whole request did not arrive within " +
                         std::to_string(server_->options.read_timeout.count()) +
                         " ms; nothing was done, send it again faster"));
      return;
    }
    if (ec == http::error::end_of_stream ||
        ec == asio::error::connection_reset ||
        ec == asio::error::operation_aborted) {
      Close();
      return;
    }
    if (ec) {
      std::string reason;
      HttpResponse response =
          ParseErrorResponse(ec, server_->options.body_bytes, reason);
      WriteError(reason, std::move(response));
      return;
    }
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    request.authorization = std::string(message[http::field::authorization]);
    request.body = std::move(message.body());
    share_.Complete();
    Enter(State::kHandling);
    exchange_ = server_->next_exchange++;
    server_->waiting[exchange_] = this->shared_from_this();
    ReadAhead();
    server_->handlers.on_request(ExchangeId{exchange_}, std::move(request));
  }

  void WriteError(const std::string& reason, HttpResponse response) {
    server_->Rejected(reason);
    linger_ = true;
    parser_.reset();
    share_.Release();
    Write(std::move(response), false);
  }

  void Write(HttpResponse response, bool keep_alive) {
    Enter(State::kWriting);
    response_.emplace();
    response_->version(11);
    response_->result(static_cast<unsigned>(response.status));
    response_->set(http::field::content_type, response.content_type);
    for (const HttpHeader& it : response.headers) {
      response_->set(it.name, it.value);
    }
    response_->keep_alive(keep_alive);
    response_->body() = std::move(response.body);
    response_->prepare_payload();
    SetTimer(kWriteTimeout, &Session::Close);
    http::async_write(
        socket_, *response_,
        [self = this->shared_from_this(), keep_alive](
            error_code ec, std::size_t) { self->OnWritten(ec, keep_alive); });
  }

  void OnWritten(error_code ec, bool keep_alive) {
    timer_.cancel();
    if (state_ != State::kWriting) {
      return;
    }
    if (ec) {
      Close();
    } else if (keep_alive) {
      WaitForRequest();
    } else {
      socket_.shutdown(tcp::socket::shutdown_send, ec);
      if (linger_) {
        SetTimer(kLingerTimeout, &Session::Close);
        Drop();
      } else {
        Close();
      }
    }
  }

  void Drop() {
    buffer_.clear();
    socket_.async_read_some(
        buffer_.prepare(kReadAheadBytes),
        [self = this->shared_from_this()](error_code ec, std::size_t) {
          if (ec || self->state_ == State::kClosed) {
            self->Close();
          } else {
            self->Drop();
          }
        });
  }

  void SetTimer(Millis delay, void (Session::*on_expiry)()) {
    timer_.expires_after(delay);
    timer_.async_wait(
        [self = this->weak_from_this(), on_expiry](error_code ec) {
          const auto session = self.lock();
          if (!ec && session) {
            ((*session).*on_expiry)();
          }
        });
  }

  std::shared_ptr<Impl> server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  bool reject_;
  State state_ = State::kIdle;
  SessionList::iterator place_;
  std::chrono::steady_clock::time_point changed_at_ =
      std::chrono::steady_clock::now();
  RequestMemory::Share share_;
  bool gave_way_ = false;
  bool filling_ = false;
  bool timed_out_ = false;
  bool keep_alive_ = false;
  bool linger_ = false;
  std::uint64_t exchange_ = 0;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::string_body>> response_;
};

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
