#include "burn_report.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "json_fields.h"
#include "table.h"

namespace shallotlug::cli {
namespace {

namespace json = boost::json;

BurnLine& LineOf(BurnReport& report,
                 const std::string& name,
                 const std::string& customer) {
  const auto before = [](const BurnLine& line,
                         const std::pair<std::string, std::string>& key) {
    return std::tie(line.name, line.customer) < std::tie(key.first, key.second);
  };
  auto it = std::lower_bound(report.lines.begin(), report.lines.end(),
                             std::pair(name, customer), before);
  if (it == report.lines.end() || it->name != name ||
      it->customer != customer) {
    it = report.lines.insert(it, BurnLine{});
    it->name = name;
    it->customer = customer;
  }
  return *it;
}

// Of the states that several entries report, the most serious one counts.
std::string MoreSerious(const std::string& a, const std::string& b) {
  static constexpr std::array<std::string_view, 5> kOrder = {
      "none", "held", "lent", "reclaiming", "short"};
  const auto rank = [](const std::string& state) {
    return std::find(kOrder.begin(), kOrder.end(), state) - kOrder.begin();
  };
  return a.empty() || rank(b) > rank(a) ? b : a;
}

void AddRow(BurnReport& report, const json::object& row) {
  BurnLine& line =
      LineOf(report, TextField(row, "class"), TextField(row, "customer"));
  line.finish_within_ms = IntegerField(row, "finish_within_ms");
  line.objective = NumberField(row, "objective");
  line.guarantee = MoreSerious(line.guarantee, TextField(row, "guarantee"));
  for (std::size_t n = 0; n < kWindowKeys.size(); ++n) {
    const json::object& window = ObjectField(row, kWindowKeys[n]);
    line.windows[n].total += IntegerField(window, "total");
    line.windows[n].met += IntegerField(window, "met");
  }
}

std::string Join(const std::vector<std::string>& texts) {
  std::string text;
  for (const std::string& it : texts) {
    text += (text.empty() ? "" : ", ") + it;
  }
  return text;
}

json::array ToArray(const std::vector<std::string>& texts) {
  return json::array(texts.begin(), texts.end());
}

}  // namespace

std::vector<std::string> AddReply(BurnReport& report,
                                  const std::string& address,
                                  const std::string& body) {
  const auto reply = ParseObject(body);
  if (!reply) {
    report.silent.push_back(address);
    return {};
  }
  report.answered.push_back(address);
  for (const json::value& it : ArrayField(*reply, "rows")) {
    if (const auto* row = it.if_object()) {
      AddRow(report, *row);
    }
  }
  std::vector<std::string> entries;
  for (const json::value& it : ArrayField(*reply, "entries")) {
    if (it.is_string()) {
      entries.emplace_back(it.get_string());
    }
  }
  return entries;
}

double ShareMet(const BurnCount& count) {
  if (count.total == 0) {
    return 1;
  }
  return static_cast<double>(count.met) / static_cast<double>(count.total);
}

double BurnRate(const BurnLine& line, const BurnCount& count) {
  const double budget = 1 - line.objective;
  return budget > 0 ? (1 - ShareMet(count)) / budget : 0;
}

double BudgetLeft(const BurnLine& line) {
  return 1 - BurnRate(line, line.windows.back());
}

std::string ToTable(const BurnReport& report) {
  std::vector<TableRow> rows = {{"CLASS", "CUSTOMER", "TARGET", "OBJECTIVE",
                                 "DONE 6h", "MET 6h", "BUDGET LEFT", "BURN 5m",
                                 "BURN 1h", "BURN 6h", "GUARANTEE"}};
  for (const BurnLine& it : report.lines) {
    TableRow row = {it.name,
                    it.customer,
                    std::to_string(it.finish_within_ms) + " ms",
                    FormatNumber(it.objective * 100, 2) + " %",
                    std::to_string(it.windows.back().total),
                    FormatNumber(ShareMet(it.windows.back()) * 100, 3) + " %",
                    FormatNumber(BudgetLeft(it) * 100, 1) + " %"};
    for (const BurnCount& count : it.windows) {
      row.push_back(FormatNumber(BurnRate(it, count), 2));
    }
    row.push_back(it.guarantee);
    rows.push_back(std::move(row));
  }
  std::string text = FormatTable(rows);
  text += "entries: " + std::to_string(report.answered.size()) + " answered";
  if (!report.silent.empty()) {
    text += "; no answer from " + Join(report.silent) +
            ", so the counts are incomplete";
  }
  return text + "\n";
}

std::string ToJsonText(const BurnReport& report) {
  json::array rows;
  for (const BurnLine& it : report.lines) {
    json::object row{{"class", it.name},
                     {"customer", it.customer},
                     {"finish_within_ms", it.finish_within_ms},
                     {"objective", it.objective},
                     {"budget_left", BudgetLeft(it)},
                     {"guarantee", it.guarantee}};
    for (std::size_t n = 0; n < kWindowNames.size(); ++n) {
      row[kWindowKeys[n]] = {{"total", it.windows[n].total},
                             {"met", it.windows[n].met},
                             {"burn_rate", BurnRate(it, it.windows[n])}};
    }
    rows.push_back(std::move(row));
  }
  return json::serialize(json::object{{"rows", std::move(rows)},
                                      {"answered", ToArray(report.answered)},
                                      {"silent", ToArray(report.silent)}}) +
         "\n";
}

}  // namespace shallotlug::cli
