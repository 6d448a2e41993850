#ifndef CONFIG_TESTS_CONFIG_TEXTS_H_
#define CONFIG_TESTS_CONFIG_TEXTS_H_

namespace godwit::config {

// Prefixes of valid and invalid configuration texts. A number is appended, so
// that each text is unique.
inline constexpr char kValidText[] = "services: {}\norganisations: {}\n# ";
inline constexpr char kInvalidText[] = "services: []\n# ";

}  // namespace godwit::config

#endif  // CONFIG_TESTS_CONFIG_TEXTS_H_
