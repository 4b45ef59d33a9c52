#include "shallotlug/standin/load.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <random>
#include <thread>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "shallotlug/net/http_fetch.h"
#include "shallotlug/standin/worker.h"

namespace shallotlug::standin {
namespace {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr int kMaxSends = 3;
constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;

std::string FieldOf(const std::string& body, const char* key) {
  json::error_code ec;
  const json::value value = json::parse(body, ec);
  const json::object* object = ec ? nullptr : value.if_object();
  const json::value* it = object ? object->if_contains(key) : nullptr;
  return it && it->is_string() ? std::string(it->get_string()) : "";
}

// One caller: mints an id, sends it, and repeats it while the outcome is open.
class Caller {
 public:
  Caller(const LoadOptions& options, std::size_t number)
      : options_(options), number_(number) {
    body_ = json::serialize(
        json::object{{"run_ms", options.run_time.count()}, {"caller", number}});
  }

  void Run(LoadSample& sample) {
    const json::object mint{{"customer", options_.customer},
                            {"class", options_.request_class}};
    Result minted = Post("/v1/requests:mint", mint);
    for (int n = 1; n < kMaxSends && !minted; ++n) {
      ++number_;
      minted = Post("/v1/requests:mint", mint);
    }
    if (!minted || minted.value().status != kStatusCreated) {
      sample.result =
          minted ? FieldOf(minted.value().body, "error") : "no_entry";
      return;
    }
    const std::string target =
        "/v1/requests/" + FieldOf(minted.value().body, "id");
    const json::object request{{"customer", options_.customer},
                               {"class", options_.request_class},
                               {"body", body_}};
    while (sample.sends < kMaxSends && !Final(sample.result)) {
      ++sample.sends;
      ++number_;  // The next send goes through another entry.
      sample.result = ResultOf(Post(target, request));
    }
  }

 private:
  using Result = boost::outcome_v2::std_result<net::HttpResponse>;

  static bool Final(const std::string& result) {
    return !result.empty() && result != "outcome_unknown" &&
           result != "not_accepted" && result != "no_reply";
  }

  std::string ResultOf(const Result& reply) const {
    if (!reply) {
      return "no_reply";
    }
    if (reply.value().status != kStatusOk) {
      return FieldOf(reply.value().body, "error");
    }
    return FieldOf(reply.value().body, "digest") == DigestOf(body_)
               ? "answered"
               : "mixed_up";
  }

  Result Post(const std::string& target, const json::object& body) {
    net::HttpFetchOptions fetch;
    fetch.address = options_.entries[number_ % options_.entries.size()];
    fetch.method = "POST";
    fetch.target = target;
    fetch.body = json::serialize(body);
    fetch.timeout = options_.timeout;
    return net::Fetch(fetch);
  }

  const LoadOptions& options_;
  std::size_t number_;
  std::string body_;
};

Millis Quantile(const std::vector<Millis>& sorted, double q) {
  if (sorted.empty()) {
    return Millis(0);
  }
  const double last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::llround(q * last))];
}

Millis Since(Clock::time_point begin) {
  return std::chrono::duration_cast<Millis>(Clock::now() - begin);
}

}  // namespace

std::vector<Millis> ArrivalTimes(const LoadOptions& options) {
  std::mt19937_64 random(options.seed);
  std::exponential_distribution<double> gap(options.rate / 1000);
  std::vector<Millis> times;
  double at = gap(random);
  while (at < static_cast<double>(options.duration.count())) {
    times.emplace_back(static_cast<std::int64_t>(at));
    at += gap(random);
  }
  return times;
}

std::vector<LoadSample> RunLoad(const LoadOptions& options) {
  const std::vector<Millis> times = ArrivalTimes(options);
  std::vector<LoadSample> samples(times.size());
  std::atomic<std::size_t> next = 0;
  const Clock::time_point begin = Clock::now();
  const auto work = [&] {
    for (std::size_t n = next++; n < times.size(); n = next++) {
      std::this_thread::sleep_until(begin + times[n]);
      samples[n].arrival = times[n];
      Caller(options, n).Run(samples[n]);
      samples[n].latency = Since(begin) - times[n];
    }
  };
  std::vector<std::thread> threads;
  for (int n = 0; n < options.threads; ++n) {
    threads.emplace_back(work);
  }
  for (std::thread& it : threads) {
    it.join();
  }
  return samples;
}

LoadSummary Summarize(const std::vector<LoadSample>& samples, Millis target) {
  LoadSummary summary;
  std::vector<Millis> latencies;
  for (const LoadSample& it : samples) {
    ++summary.results[it.result];
    if (it.result == "answered") {
      latencies.push_back(it.latency);
      summary.in_target += it.latency <= target ? 1 : 0;
    }
  }
  std::sort(latencies.begin(), latencies.end());
  summary.median = Quantile(latencies, 0.5);
  summary.p99 = Quantile(latencies, 0.99);
  summary.slowest = Quantile(latencies, 1);
  return summary;
}

std::string ToJsonText(const LoadSummary& summary) {
  json::object results;
  for (const auto& [name, count] : summary.results) {
    results[name] = count;
  }
  return json::serialize(
             json::object{{"results", std::move(results)},
                          {"in_target", summary.in_target},
                          {"median_ms", summary.median.count()},
                          {"p99_ms", summary.p99.count()},
                          {"slowest_ms", summary.slowest.count()}}) +
         "\n";
}

std::string ToHtml(const std::vector<LoadSample>& samples, Millis target) {
  constexpr int kWidth = 900;
  constexpr int kHeight = 320;
  Millis end{1};
  Millis slowest = target;
  for (const LoadSample& it : samples) {
    end = std::max(end, it.arrival);
    slowest = std::max(slowest, it.latency);
  }
  const auto x = [&](Millis at) { return at.count() * kWidth / end.count(); };
  const auto y = [&](Millis at) {
    return kHeight - at.count() * kHeight / slowest.count();
  };
  std::string dots;
  for (const LoadSample& it : samples) {
    const bool answered = it.result == "answered";
    dots += "<circle r=\"2\" cx=\"" + std::to_string(x(it.arrival)) +
            "\" cy=\"" + std::to_string(y(it.latency)) + "\" fill=\"" +
            (answered ? "#0b5c8a" : "#c0392b") + "\"/>\n";
  }
  const std::string line = std::to_string(y(target));
  return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<title>Latency</title></head><body><h1>Latency over time</h1>\n"
         "<p>Blue: answered. Red: anything else. The line is the target of " +
         std::to_string(target.count()) + " ms; the top is " +
         std::to_string(slowest.count()) + " ms.</p>\n<svg width=\"" +
         std::to_string(kWidth) + "\" height=\"" + std::to_string(kHeight) +
         "\" role=\"img\" aria-label=\"Latency over time\">\n" + dots +
         "<line x1=\"0\" x2=\"" + std::to_string(kWidth) + "\" y1=\"" + line +
         "\" y2=\"" + line + "\" stroke=\"#c0392b\"/></svg></body></html>\n";
}

}  // namespace shallotlug::standin
