// MeteredSimulation: requests that end by themselves, and what a loss of power
// costs.
#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "metered_simulation.h"
#include "power_loss_parts.h"
#include "simulated_router.h"

namespace godwit::ledger {
namespace {

const base::BudgetId kBudget("kiosks");

// Returns a figure of MeteredBudgetManager::Describe().
base::Tokens FigureIn(const std::string& description, const char* name) {
  const size_t at = description.find(std::string(name) + " ");
  return at == std::string::npos
             ? 0
             : std::stoll(description.substr(at + std::string(name).size()));
}

}  // namespace

void MeteredSimulation::Kill(size_t index, base::Millis down) {
  routers_[index]->off_until = now_ + down;
  Restart(index);
}

void MeteredSimulation::Run(size_t index,
                            base::Tokens amount,
                            int used_percent,
                            base::Millis duration,
                            bool uses_at_start) {
  Router& router = *routers_[index];
  if (IsOff(router)) {
    return;
  }
  router.waiting.push_back(
      {amount, now_, 0, {used_percent, duration, uses_at_start}, std::nullopt});
  TryReserve(router);
  delayed_ += router.waiting.empty() ? 0 : 1;
}

void MeteredSimulation::FinishDue(Router& router) {
  std::deque<Router::Running> still_running;
  for (const Router::Running& running : router.running) {
    const base::Millis duration = running.course.duration;
    if (duration == base::Millis() || now_ - running.since < duration) {
      still_running.push_back(running);
      continue;
    }
    const base::Tokens used = running.UsedBy(now_);
    router.used += used;
    router.manager->Settle(TimeOf(router), kBudget, running.amount, {used, 0});
  }
  router.running = std::move(still_running);
}

PowerLossParts MeteredSimulation::PartsNow() const {
  PowerLossParts parts;
  for (const auto& router : routers_) {
    const std::string state =
        router->manager->Describe(TimeOf(*router), kBudget);
    const base::Tokens promised =
        std::min(FigureIn(state, "granted"), FigureIn(state, "promised"));
    const base::Tokens reserved = FigureIn(state, "reserved");
    const base::Tokens of_grant =
        std::max<base::Tokens>(0, reserved - FigureIn(state, "borrowed"));
    const base::Tokens allocated =
        FigureIn(state, "spent") + of_grant + FigureIn(state, "lent");
    parts.promised += promised;
    parts.advance += std::max<base::Tokens>(0, promised - allocated);
    parts.loans += allocated - router->used - reserved;
    parts.reservations += reserved;
    for (const Router::Running& running : router->running) {
      parts.reservations -= running.UsedBy(now_);
    }
  }
  return parts;
}

std::optional<BudgetReport> MeteredSimulation::LenderReport() const {
  for (const auto& router : routers_) {
    for (const BudgetReport& report : router->manager->Reports()) {
      if (report.is_lender && report.delivered > 0) {
        return report;
      }
    }
  }
  return std::nullopt;
}

}  // namespace godwit::ledger
