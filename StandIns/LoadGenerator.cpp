#include "StandIns/LoadGenerator.h"

#include <utility>

namespace balsamrack::standins {

LoadGenerator::LoadGenerator(CallSettings settings)
    : Settings(std::move(settings)) {
  for (uint32_t i = 0; i < Settings.Callers; ++i)
    Threads.emplace_back([this, i] { Caller(Settings, Shared, i).run(); });
}

LoadGenerator::~LoadGenerator() { stop(); }

void LoadGenerator::stop() {
  Shared.Stop = true;
  for (std::thread &thread : Threads)
    thread.join();
  Threads.clear();
}

LoadReport LoadGenerator::report() {
  std::lock_guard<std::mutex> guard(Shared.Lock);
  return Shared.Report;
}

} // namespace balsamrack::standins
