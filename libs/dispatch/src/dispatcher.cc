#include "dispatch/dispatcher.h"

#include <utility>

#include "dispatcher_state.h"

namespace godwit::dispatch {

Dispatcher::Dispatcher(DispatcherOptions options)
    : state_(std::make_unique<State>(std::move(options))) {}

Dispatcher::~Dispatcher() = default;

std::vector<DispatchCommand> Dispatcher::Step(base::Millis now,
                                              const DispatchEvent& event) {
  return state_->Step(now, event);
}

bool Dispatcher::ready() const {
  return state_->table_ != nullptr && state_->directory_.loaded() &&
         !state_->draining_ &&
         !(state_->MayConfigurationBeOutdated() && state_->store_answers_);
}

size_t Dispatcher::open_calls() const {
  return state_->calls_.size();
}

size_t Dispatcher::waiting_calls() const {
  return state_->queue_.size();
}

size_t Dispatcher::cold_servers() const {
  return state_->limits_.cold_servers();
}

size_t Dispatcher::evacuated_data_centres() const {
  return state_->directory_.evacuated().size();
}

bool Dispatcher::drained() const {
  return state_->calls_.empty() && state_->budgets_.drained();
}

int64_t Dispatcher::ledger_era() const {
  return state_->budgets_.merged_era();
}

std::vector<ledger::BudgetReport> Dispatcher::budget_reports() const {
  return state_->budgets_.Reports();
}

int64_t Dispatcher::config_version() const {
  return state_->table_ == nullptr ? 0 : state_->table_->version();
}

base::Millis Dispatcher::configuration_answered_at() const {
  return state_->configuration_answered_at_;
}

}  // namespace godwit::dispatch
