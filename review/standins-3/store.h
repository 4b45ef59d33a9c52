#ifndef REVIEW_STANDINS_3_STORE_H_
#define REVIEW_STANDINS_3_STORE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/core/detail/base64.hpp>

#include "http.h"

namespace review {

/// @brief The platform's metadata store: log-append, log-read and log-newest of
/// partition 0, with conditions, producers and keyed topics.
class Store {
 public:
  struct Record {
    std::string raw;  ///< The content behind its length.
  };
  /// @brief What happens to an append.
  struct Fate {
    /// It gets no answer, and is carried out after this time.
    std::optional<Millis> late;
  };
  using Judge = std::function<Fate(const std::string& topic,
                                   const std::vector<Record>& records)>;

  explicit Store(asio::io_context& context) : context_(context) {}

  /// @brief Opens a port for one machine.
  /// @return Its number, for PortOf() and TurnAway().
  std::size_t AddMachine() {
    const std::size_t machine = doors_.size();
    doors_.push_back(std::make_unique<Door>());
    doors_.back()->server =
        std::make_unique<Server>(context_, [this, machine](Request it) {
          return Answer(*doors_[machine], std::move(it));
        });
    return machine;
  }
  unsigned short PortOf(std::size_t machine) const {
    return doors_.at(machine)->server->Port();
  }

  /// @brief Gives the machine no answers, and does nothing for it, while the
  /// others are served.
  void TurnAway(std::size_t machine, bool away) {
    doors_.at(machine)->away = away;
  }

  /// @brief Decides the fate of each append; none: all are answered.
  void SetJudge(Judge judge) { judge_ = std::move(judge); }

  /// @brief The operator's write of a record with a key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    Topic& to = topics_[topic];
    to.records.push_back(
        {std::string(1, static_cast<char>(key.size())) + key + value});
    Wake(to);
  }

  static std::string KeyOf(const Record& record) {
    return record.raw.substr(1, static_cast<unsigned char>(record.raw[0]));
  }

 private:
  struct Reply {
    std::uint64_t sequence = 0;
    Response response;
  };
  struct Writer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool any = false;
    std::deque<Reply> last;
  };
  struct Topic {
    std::vector<Record> records;
    std::map<std::string, Writer> writers;
    std::vector<std::shared_ptr<asio::steady_timer>> waiting;
  };
  struct Door {
    bool away = false;
    std::unique_ptr<Server> server;
  };
  using Query = std::map<std::string, std::string>;

  static constexpr std::size_t kNewestRecords = 500;
  static constexpr std::size_t kRepeats = 5;
  static constexpr Millis kAnswerTime{4};
  static constexpr Millis kSilence{60'000};

  static void Wake(Topic& topic) {
    for (const auto& it : topic.waiting) {
      it->cancel();
    }
    topic.waiting.clear();
  }

  static std::string Unescape(std::string_view text) {
    std::string to;
    for (std::size_t n = 0; n < text.size(); ++n) {
      if (text[n] == '%' && n + 2 < text.size()) {
        to += static_cast<char>(
            std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16));
        n += 2;
      } else {
        to += text[n];
      }
    }
    return to;
  }

  static Query QueryOf(const std::string& target) {
    Query query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = target.find('&', at + 1);
      const std::string part = target.substr(at + 1, end - at - 1);
      const std::size_t equals = part.find('=');
      query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
      at = end;
    }
    return query;
  }

  static std::uint64_t Number(const Query& query, const char* key) {
    const auto it = query.find(key);
    return it == query.end() || it->second.empty() ? 0
                                                   : std::stoull(it->second);
  }

  static std::vector<Record> Split(std::string_view body) {
    std::vector<Record> records;
    while (body.size() > 4) {
      std::size_t size = 0;
      for (std::size_t n = 0; n < 4; ++n) {
        size = size << 8 | static_cast<unsigned char>(body[n]);
      }
      records.push_back({std::string(body.substr(4, size))});
      body.remove_prefix(4 + size);
    }
    return records;
  }

  static void PutNumber(std::string& to, std::uint64_t n, int bytes) {
    for (int it = bytes; it-- > 0;) {
      to += static_cast<char>(n >> (8 * it) & 0xff);
    }
  }

  Task<Response> Answer(const Door& door, Request request) {
    if (door.away) {
      co_await Sleep(kSilence);
      co_return Response{};
    }
    co_return co_await Handle(std::move(request));
  }

  Task<Response> Handle(Request request) {
    const Query query = QueryOf(request.target);
    const std::string topic = query.contains("topic") ? query.at("topic") : "";
    co_await Sleep(kAnswerTime);
    if (request.target.starts_with("/api/log-append")) {
      const std::vector<Record> records = Split(request.body);
      const Fate fate = judge_ ? judge_(topic, records) : Fate{};
      if (fate.late) {
        asio::co_spawn(context_, AppendLater(*fate.late, query, records),
                       asio::detached);
        // A connection on which a response is lost returns nothing further.
        co_await Sleep(kSilence);
        co_return Response{};
      }
      co_return Append(query, records);
    }
    if (request.target.starts_with("/api/log-read")) {
      co_return co_await Read(query);
    }
    if (request.target.starts_with("/api/log-newest")) {
      co_return Newest(query);
    }
    co_return JsonResponse(404, {});
  }

  Task<void> AppendLater(Millis time,
                         Query query,
                         std::vector<Record> records) {
    co_await Sleep(time);
    Append(query, records);
  }

  Response Append(const Query& query, const std::vector<Record>& records) {
    Topic& topic = topics_[query.at("topic")];
    const std::uint64_t end = topic.records.size();
    Writer* writer = nullptr;
    if (query.contains("producer")) {
      writer = &topic.writers[query.at("producer")];
      const std::uint64_t epoch = Number(query, "epoch");
      const std::uint64_t sequence = Number(query, "sequence");
      if (writer->any && epoch < writer->epoch) {
        return JsonResponse(409, {{"reason", "fenced"}});
      }
      if (writer->any && epoch == writer->epoch) {
        for (const Reply& it : writer->last) {
          if (it.sequence == sequence) {
            return it.response;
          }
        }
        if (sequence != writer->sequence + 1) {
          return JsonResponse(
              409, {{"reason", "seq"}, {"sequence", writer->sequence + 1}});
        }
      }
    }
    if (query.contains("at") && Number(query, "at") != end) {
      return JsonResponse(412, {{"end_offset", end}});
    }
    topic.records.insert(topic.records.end(), records.begin(), records.end());
    const Response response = JsonResponse(
        200, {{"offset", end}, {"end_offset", topic.records.size()}});
    if (writer != nullptr) {
      if (writer->epoch != Number(query, "epoch")) {
        writer->last.clear();
      }
      writer->any = true;
      writer->epoch = Number(query, "epoch");
      writer->sequence = Number(query, "sequence");
      writer->last.push_back({writer->sequence, response});
      if (writer->last.size() > kRepeats) {
        writer->last.pop_front();
      }
    }
    Wake(topic);
    return response;
  }

  Task<Response> Read(Query query) {
    const std::string name = query.at("topic");
    const std::uint64_t from = Number(query, "from");
    const std::size_t most =
        std::max<std::size_t>(Number(query, "max_kilobytes"), 1) * 1024;
    if (topics_[name].records.size() <= from && Number(query, "wait_ms") > 0) {
      const auto timer = std::make_shared<asio::steady_timer>(
          context_, Millis(Number(query, "wait_ms")));
      topics_[name].waiting.push_back(timer);
      co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    }
    const std::vector<Record>& records = topics_[name].records;
    std::string body;
    PutNumber(body, records.size(), 8);
    PutNumber(body, 0, 8);
    for (std::size_t n = from; n < records.size(); ++n) {
      if (n > from && body.size() + records[n].raw.size() > most) {
        break;
      }
      PutNumber(body, records[n].raw.size(), 4);
      body += records[n].raw;
    }
    co_return Response{200, std::move(body), "application/octet-stream"};
  }

  Response Newest(const Query& query) {
    namespace base64 = boost::beast::detail::base64;
    const std::vector<Record>& records = topics_[query.at("topic")].records;
    std::map<std::string, std::size_t> newest;
    for (std::size_t n = 0; n < records.size(); ++n) {
      newest[KeyOf(records[n])] = n;
    }
    const std::string after =
        query.contains("depends_on") ? query.at("depends_on") : "";
    json::array items;
    bool has_more = false;
    for (auto it = newest.upper_bound(after); it != newest.end(); ++it) {
      const std::string value =
          records[it->second].raw.substr(1 + it->first.size());
      if (value.empty()) {
        continue;
      }
      if (items.size() == kNewestRecords) {
        has_more = true;
        break;
      }
      std::string text(base64::encoded_size(value.size()), '\0');
      text.resize(base64::encode(text.data(), value.data(), value.size()));
      items.push_back(json::object{
          {"key", it->first}, {"value", text}, {"offset", it->second}});
    }
    return JsonResponse(200, {{"items", std::move(items)},
                              {"has_more", has_more},
                              {"end_offset", records.size()}});
  }

  asio::io_context& context_;
  std::map<std::string, Topic> topics_;
  Judge judge_;
  std::vector<std::unique_ptr<Door>> doors_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_STORE_H_
