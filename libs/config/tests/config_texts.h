#ifndef CONFIG_TESTS_CONFIG_TEXTS_H_
#define CONFIG_TESTS_CONFIG_TEXTS_H_

namespace godwit::config {

// Starts of texts that can and can't be put in force; a number follows, so
// that each text is unique.
inline constexpr char kValidText[] = "services: {}\norganisations: {}\n# ";
inline constexpr char kInvalidText[] = "services: []\n# ";

}  // namespace godwit::config

#endif  // CONFIG_TESTS_CONFIG_TEXTS_H_
