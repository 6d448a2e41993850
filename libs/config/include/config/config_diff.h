#ifndef CONFIG_CONFIG_DIFF_H_
#define CONFIG_CONFIG_DIFF_H_

#include <string>
#include <vector>

#include "config/config_change.h"

namespace godwit::config {

struct Config;

// Entries that differ, sorted by path. Comments, layout and the order of
// entries are ignored, except for which class comes first (path "classes
// (default)"). Any thread.
std::vector<ConfigChange> ConfigDiff(const Config& before, const Config& after);

// One line for each entry: "+ path: value", "- path: value", or "~ path: before
// -> after"; "no difference" when there are none.
std::string DiffText(const std::vector<ConfigChange>& changes);

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_DIFF_H_
