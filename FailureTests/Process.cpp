#include "FailureTests/Process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <thread>

namespace balsamrack {

namespace {

constexpr auto PollPeriod = std::chrono::milliseconds(20);
/// All ports are below 32768, where the ephemeral port range begins.
constexpr uint16_t FirstPort = 12'000;
constexpr uint16_t PortCount = 18'000;

// Runs in the child and may only call async-signal-safe functions.
[[noreturn]] void execChild(const char *path, char *const *argv, int logFd) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(logFd, STDOUT_FILENO);
  dup2(logFd, STDERR_FILENO);
  sigset_t emptyMask;
  sigemptyset(&emptyMask);
  sigprocmask(SIG_SETMASK, &emptyMask, nullptr);
  execv(path, argv);
  _exit(127);
}

bool canListen(uint16_t port) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  int enable = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  bool ok =
      bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
  close(fd);
  return ok;
}

} // namespace

absl::StatusOr<std::unique_ptr<Process>>
Process::start(const std::string &name, const std::vector<std::string> &args,
               const std::string &logPath) {
  std::string path = std::string(BALSAMRACK_BINARY_DIR) + "/" + name;
  if (access(path.c_str(), X_OK) != 0)
    return absl::NotFoundError(path + " is not built");
  std::vector<char *> argv{const_cast<char *>(path.c_str())};
  for (const auto &arg : args)
    argv.push_back(const_cast<char *>(arg.c_str()));
  argv.push_back(nullptr);
  int fd =
      open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_t pid = fork();
  if (pid == 0)
    execChild(path.c_str(), argv.data(), fd);
  close(fd);
  if (pid < 0)
    return absl::InternalError("fork failed");
  return std::unique_ptr<Process>(new Process(pid));
}

Process::~Process() {
  if (!isRunning())
    return;
  signal(SIGKILL);
  waitpid(Pid, nullptr, 0);
}

void Process::signal(int signal) const { kill(Pid, signal); }

bool Process::isRunning() {
  int status = 0;
  if (Exited || waitpid(Pid, &status, WNOHANG) != Pid)
    return !Exited;
  Exited = true;
  ExitCode = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  return false;
}

absl::StatusOr<int> Process::awaitExit(Duration timeout) {
  if (!awaitUntil(timeout, [this] { return !isRunning(); }))
    return absl::DeadlineExceededError("still running");
  return ExitCode;
}

Duration Process::cpuTime() const {
  clockid_t clock;
  timespec used{};
  if (clock_getcpuclockid(Pid, &clock) != 0 || clock_gettime(clock, &used) != 0)
    return Duration{0};
  auto total = std::chrono::seconds(used.tv_sec) +
               std::chrono::nanoseconds(used.tv_nsec);
  return std::chrono::duration_cast<Duration>(total);
}

uint16_t findFreePort() {
  // Each test process starts at a different port to avoid collisions.
  static uint16_t next = static_cast<uint16_t>(getpid() * 97 % PortCount);
  for (uint16_t tries = 0; tries < PortCount; ++tries) {
    next = static_cast<uint16_t>((next + 1) % PortCount);
    auto port = static_cast<uint16_t>(FirstPort + next);
    if (canListen(port))
      return port;
  }
  return 0;
}

uint64_t testSeed() {
  const char *text = std::getenv("BALSAMRACK_TEST_SEED");
  uint64_t seed = text != nullptr ? std::strtoull(text, nullptr, 10) : 1;
  std::printf("seed: BALSAMRACK_TEST_SEED=%llu\n",
              static_cast<unsigned long long>(seed));
  return seed;
}

void sleepForPollPeriod() { std::this_thread::sleep_for(PollPeriod); }

} // namespace balsamrack
