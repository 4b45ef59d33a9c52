#ifndef SHALLOTLUG_CLI_SRC_BURN_REPORT_H_
#define SHALLOTLUG_CLI_SRC_BURN_REPORT_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace shallotlug::cli {

/// @brief Windows of the report, in the order of BurnLine::windows.
inline constexpr std::array<const char*, 3> kWindowNames = {"5m", "1h", "6h"};
inline constexpr std::array<const char*, 3> kWindowKeys = {
    "five_minutes", "one_hour", "six_hours"};

struct BurnCount {
  std::int64_t total = 0;
  std::int64_t met = 0;
};

/// @brief One class of one customer, added up over entries.
struct BurnLine {
  std::string name;
  std::string customer;
  std::int64_t finish_within_ms = 0;
  double objective = 0;
  std::array<BurnCount, 3> windows;
  std::string guarantee;
};

struct BurnReport {
  std::vector<BurnLine> lines;  ///< Sorted by class, then customer.
  std::vector<std::string> answered;
  std::vector<std::string> silent;  ///< Entries whose part is missing.
};

/// @brief Adds one entry's reply to `GET /v1/burn`.
/// @return The operator addresses of the entries that it knows.
std::vector<std::string> AddReply(BurnReport& report,
                                  const std::string& address,
                                  const std::string& body);

/// @brief Share of requests inside their target; 1 without requests.
double ShareMet(const BurnCount& count);

/// @brief How many times faster than sustainable the error budget is used:
/// 1 uses it up exactly over its period.
/// Source: Beyer et al., "The Site Reliability Workbook", chapter 5, 2018.
double BurnRate(const BurnLine& line, const BurnCount& count);

/// @brief Share of the six-hour error budget that is left; negative when
/// overspent.
double BudgetLeft(const BurnLine& line);

std::string ToTable(const BurnReport& report);
std::string ToJsonText(const BurnReport& report);
/// @brief A page without outside references, with a plot of the burn rates.
std::string ToHtml(const BurnReport& report);

}  // namespace shallotlug::cli

#endif  // SHALLOTLUG_CLI_SRC_BURN_REPORT_H_
