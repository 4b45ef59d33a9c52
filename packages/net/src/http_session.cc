#include <utility>

#include <boost/asio/write.hpp>

#include "http_server_impl.h"

namespace shallotlug::net {

namespace {

constexpr std::uint32_t kHeaderBytes = 16 * 1024;
constexpr std::size_t kReadAheadBytes = 4096;
// Bound of the read buffer, which holds a header, the trailers or a chunk's
// extensions as a whole until they are complete.
constexpr std::size_t kMaxBufferedBytes = 32'768;
// A response that is not taken within this time is given up.
constexpr Millis kWriteTimeout{30'000};
// After an error the rest of the request is read and dropped for this long,
// because closing with unread data resets the connection and can destroy the
// error on its way.
constexpr Millis kLingerTimeout{1'000};

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

HttpServer::Impl::Session::Session(std::shared_ptr<Impl> server,
                                   tcp::socket socket,
                                   bool reject)
    : server_(std::move(server)),
      socket_(std::move(socket)),
      timer_(server_->context),
      reject_(reject),
      buffer_(kMaxBufferedBytes) {
  auto& list = server_->by_state[static_cast<std::size_t>(state_)];
  place_ = reject_ ? list.end() : list.insert(list.end(), this);
}

HttpServer::Impl::Session::~Session() {
  if (reject_) {
    --server_->rejected;
  } else {
    server_->sessions.erase(this);
    server_->by_state[static_cast<std::size_t>(state_)].erase(place_);
  }
}

void HttpServer::Impl::Session::Start() {
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

void HttpServer::Impl::Session::Reply(std::uint64_t exchange,
                                      HttpResponse response) {
  if (state_ == State::kHandling && exchange == exchange_) {
    server_->waiting.erase(exchange_);
    Write(std::move(response), keep_alive_ && !server_->draining);
  }
}

void HttpServer::Impl::Session::CloseIfIdle() {
  if (state_ == State::kIdle) {
    Close();
  }
}

Millis HttpServer::Impl::Session::SinceChange() const {
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            changed_at_);
}

void HttpServer::Impl::Session::Close() {
  Enter(State::kClosed);
  timer_.cancel();
  error_code ec;
  socket_.close(ec);
}

void HttpServer::Impl::Session::Enter(State state) {
  if (!reject_) {
    auto& from = server_->by_state[static_cast<std::size_t>(state_)];
    auto& to = server_->by_state[static_cast<std::size_t>(state)];
    to.splice(to.end(), from, place_);
  }
  state_ = state;
  changed_at_ = std::chrono::steady_clock::now();
}

void HttpServer::Impl::Session::WaitForRequest() {
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

void HttpServer::Impl::Session::ReadAhead() {
  if (buffer_.size() < kReadAheadBytes) {
    Fill();
  }
}

void HttpServer::Impl::Session::Fill() {
  filling_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadAheadBytes),
      [self = this->shared_from_this()](error_code ec, std::size_t n) {
        self->OnFilled(ec, n);
      });
}

void HttpServer::Impl::Session::OnFilled(error_code ec, std::size_t n) {
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

void HttpServer::Impl::Session::ReadRequest() {
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

void HttpServer::Impl::Session::OnReadTimeout() {
  timed_out_ = true;
  error_code ec;
  socket_.cancel(ec);
}

void HttpServer::Impl::Session::GiveWay() {
  if (state_ == State::kReading) {
    gave_way_ = true;
    error_code ec;
    socket_.cancel(ec);
  }
}

bool HttpServer::Impl::Session::HoldWhatWasRead() {
  if (share_.Hold(buffer_.capacity() + parser_->get().body().size())) {
    return true;
  }
  RefuseForMemory();
  return false;
}

void HttpServer::Impl::Session::RefuseForMemory() {
  timer_.cancel();
  WriteError("memory_limit",
             ErrorResponse(503, "not_run", "memory_limit",
                           "other requests need the memory of this process; "
                           "nothing was done, try again later"));
}

void HttpServer::Impl::Session::OnHeader(error_code ec) {
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

void HttpServer::Impl::Session::ReadBody() {
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

void HttpServer::Impl::Session::OnRequest(error_code ec) {
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
  if (ec == http::error::end_of_stream || ec == asio::error::connection_reset ||
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

void HttpServer::Impl::Session::WriteError(const std::string& reason,
                                           HttpResponse response) {
  server_->Rejected(reason);
  linger_ = true;
  parser_.reset();
  share_.Release();
  Write(std::move(response), false);
}

void HttpServer::Impl::Session::Write(HttpResponse response, bool keep_alive) {
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

void HttpServer::Impl::Session::OnWritten(error_code ec, bool keep_alive) {
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

void HttpServer::Impl::Session::Drop() {
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

void HttpServer::Impl::Session::SetTimer(Millis delay,
                                         void (Session::*on_expiry)()) {
  timer_.expires_after(delay);
  timer_.async_wait([self = this->weak_from_this(), on_expiry](error_code ec) {
    const auto session = self.lock();
    if (!ec && session) {
      ((*session).*on_expiry)();
    }
  });
}

}  // namespace shallotlug::net
