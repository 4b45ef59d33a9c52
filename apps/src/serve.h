#ifndef SHALLOTLUG_APPS_SRC_SERVE_H_
#define SHALLOTLUG_APPS_SRC_SERVE_H_

namespace shallotlug {

/// @brief Exit codes of the programs that serve.
enum ServeExitCode {
  kServeDone = 0,      ///< After a graceful shutdown, a check or `--help`.
  kServeUsage = 1,     ///< The command line is wrong.
  kServeFindings = 3,  ///< The settings have findings; all were printed.
  kServeListen = 4,    ///< A listener cannot be opened; the log says which.
};

/// @brief `shallotlug serve --settings FILE [--check]`
int ServeEntry(int argc, char** argv);

/// @brief `shallotlug-agent --settings FILE [--check]`
int ServeAgent(int argc, char** argv);

/// @brief As the two above, on a platform that keeps the state of jobs.
int ServeJobEntry(int argc, char** argv);
int ServeJobAgent(int argc, char** argv);

}  // namespace shallotlug

#endif  // SHALLOTLUG_APPS_SRC_SERVE_H_
