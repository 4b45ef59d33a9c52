#include "agent_link.h"

#include <utility>

#include "clocks.h"
#include "shallotlug/base/logging.h"

namespace shallotlug::service {

namespace {

constexpr Millis kPollWait{1'000};
// Allowed on top of the long-poll wait. It detects a connection that went
// silent, which is then replaced.
constexpr Millis kCallTimeout{1'000};
constexpr Millis kRetryDelay{200};

}  // namespace

AgentLink::AgentLink(boost::asio::io_context& context,
                     AgentName agent,
                     std::string address,
                     scheduler::Role& role,
                     std::function<void()> on_reply)
    : retry_timer_(context),
      poll_client_(context),
      order_client_(context),
      agent_(std::move(agent)),
      address_(std::move(address)),
      role_(role),
      epoch_(role.Epoch()),
      on_reply_(std::move(on_reply)) {}

scheduler::Scheduler* AgentLink::CurrentScheduler() {
  return role_.Epoch() == epoch_ ? role_.Active() : nullptr;
}

void AgentLink::Start() {
  Poll();
}

void AgentLink::Send(net::HttpClient& client,
                     Millis wait,
                     std::function<void(bool answered)> done) {
  scheduler::Scheduler* scheduler = CurrentScheduler();
  if (scheduler == nullptr) {
    return;
  }
  net::HttpFetchOptions fetch;
  fetch.address = address_;
  fetch.method = "POST";
  fetch.target = kSyncPath;
  fetch.content_type = "application/octet-stream";
  const protocol::SyncRequest request =
      scheduler->MakeSync(agent_, wait, ReadBothClocks());
  fetch.body = protocol::Encode(request);
  fetch.timeout = wait + kCallTimeout;
  client.Send(fetch, net::ConnectionUse::kReuseAndRepeat,
              [this, known = request.lease_from.incarnation,
               done = std::move(done)](const net::FetchResult& result) {
                HandleReply(known, result, done);
              });
}

void AgentLink::HandleReply(Incarnation known,
                            const net::FetchResult& result,
                            const std::function<void(bool answered)>& done) {
  scheduler::Scheduler* scheduler = CurrentScheduler();
  if (scheduler == nullptr) {
    return;
  }
  std::optional<protocol::SyncReply> reply;
  if (result && result.value().status == 200) {
    reply = protocol::DecodeSyncReply(result.value().body);
  }
  if (!reply) {
    done(false);
    return;
  }
  if (!reply->accepted) {
    role_.OnDeposed(epoch_, ReadBothClocks());
    on_reply_();
    return;
  }
  scheduler->OnReply(agent_, known, *reply, ReadBothClocks());
  done(true);
  on_reply_();
}

void AgentLink::Poll() {
  Send(poll_client_, kPollWait, [this](bool answered) {
    if (answered == unreachable_) {
      unreachable_ = !answered;
      WriteLog({unreachable_ ? LogLevel::kWarning : LogLevel::kInfo,
                unreachable_ ? "agent_lost" : "agent_regained",
                {{"agent", agent_.value}, {"address", address_}}});
    }
    if (answered) {
      Poll();
    } else {
      PollAfterDelay();
    }
  });
}

void AgentLink::PollAfterDelay() {
  retry_timer_.expires_after(kRetryDelay);
  retry_timer_.async_wait([this, alive = std::weak_ptr(alive_)](
                              const boost::system::error_code& ec) {
    if (!ec && !alive.expired()) {
      Poll();
    }
  });
}

void AgentLink::SendPending() {
  scheduler::Scheduler* scheduler = CurrentScheduler();
  if (scheduler == nullptr || order_client_.Busy() ||
      !scheduler->HasNews(agent_, ReadBothClocks())) {
    return;
  }
  Send(order_client_, Millis{0}, [this](bool answered) {
    if (answered) {
      SendPending();
    }
  });
}

}  // namespace shallotlug::service
