#ifndef CONFIG_CONFIG_DIFF_H_
#define CONFIG_CONFIG_DIFF_H_

#include <string>
#include <vector>

#include "config/config_change.h"

namespace godwit::config {

struct Config;

// The entries that differ, sorted by path. Comments, layout and the order of
// entries do not count, except which class comes first (path
// "classes (default)"). Any thread.
std::vector<ConfigChange> ConfigDiff(const Config& before, const Config& after);

// One line an entry: "+ path: value", "- path: value", or
// "~ path: before -> after"; "no difference" when there is none.
std::string DiffText(const std::vector<ConfigChange>& changes);

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_DIFF_H_
