#ifndef CONFIG_CONFIG_KEY_H_
#define CONFIG_CONFIG_KEY_H_

namespace godwit::config {

// KV key whose value is the configuration text and whose version is its
// revision.
inline constexpr char kConfigKey[] = "config/text";

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_KEY_H_
