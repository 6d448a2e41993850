#include "formats.h"

#include <cstdio>
#include <ctime>

namespace godwit::report {

std::string PercentText(double share) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f%%", share * 100);
  return text;
}

std::string BurnText(const std::optional<double>& burn) {
  if (!burn) {
    return "-";
  }
  char text[32];
  std::snprintf(text, sizeof(text), "%.1fx", *burn);
  return text;
}

std::string TimeText(base::Millis wall) {
  const std::time_t seconds = wall.count() / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M", &utc);
  return text;
}

}  // namespace godwit::report
