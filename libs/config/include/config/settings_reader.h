#ifndef CONFIG_SETTINGS_READER_H_
#define CONFIG_SETTINGS_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"

namespace godwit::config {

class Settings;

// Reads the YAML settings of a process and validates them against the keys that
// the process declares:
//
//   SettingsReader reader;
//   reader.Name("process", "name of this process")
//       .Ip("listen_ip", "where callers connect")
//       .Port("listen_port", "0 for a free one").Default("8080");
//   const auto settings = reader.ReadFile(path);
//
// A key is required unless Default or Optional follows its declaration. Where
// the file is rendered from a template, a value may be missing: a key with a
// default takes it if its value is empty or still holds a {{placeholder}}; see
// Settings::unfilled.
// On failure, programs print last_error() and exit with kSettingsExitCode.
class SettingsReader {
 public:
  SettingsReader();
  ~SettingsReader();
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  // Non-empty text.
  SettingsReader& String(std::string key, std::string help);
  // 1 to 64 letters, digits, '-', '_' and '.'.
  SettingsReader& Name(std::string key, std::string help);
  // An IPv4 or IPv6 address.
  SettingsReader& Ip(std::string key, std::string help);
  // 0 to 65535; 0 makes the system choose a free port.
  SettingsReader& Port(std::string key, std::string help);
  // An integer from `min` to `max`, both included.
  SettingsReader& Integer(std::string key,
                          std::string help,
                          int64_t min,
                          int64_t max);
  // A whole number of milliseconds from `min_ms` to `max_ms`, both included; by
  // convention the key ends in _ms.
  SettingsReader& Duration(std::string key,
                           std::string help,
                           int64_t min_ms,
                           int64_t max_ms);
  // A decimal number from `min` to `max`, both included.
  SettingsReader& Real(std::string key,
                       std::string help,
                       int64_t min,
                       int64_t max);
  // true or false.
  SettingsReader& Flag(std::string key, std::string help);
  // One of the given values.
  SettingsReader& Choice(std::string key,
                         std::string help,
                         std::vector<std::string> words);
  // IP:PORT.
  SettingsReader& Address(std::string key, std::string help);
  // A list of IP:PORT.
  SettingsReader& Addresses(std::string key, std::string help);
  // A list of names.
  SettingsReader& Names(std::string key, std::string help);

  // Default value of the last declared key, in the syntax of the file. An
  // invalid default aborts on reading.
  SettingsReader& Default(std::string text);
  // Makes the last declared key optional; see Settings::Has.
  SettingsReader& Optional();

  // Empty when the text is invalid; last_error() then states file, line, key
  // and remedy. `file` is used in messages only.
  std::optional<Settings> Read(const std::string& text,
                               const std::string& file);
  // Like Read, for the contents of a file.
  std::optional<Settings> ReadFile(const std::string& file);

  const base::Error& last_error() const noexcept { return error_; }

  // A line for each key with its type, default and help, for --help.
  std::string Help() const;

 private:
  struct Key;

  SettingsReader& Declare(Key key);
  std::optional<Settings> ReadValues(const std::string& text);
  void PrefixErrorWithFile(const std::string& file);

  std::vector<Key> keys_;
  base::Error error_;
};

// Exit code of a program whose settings or command line are invalid.
inline constexpr int kSettingsExitCode = 2;

}  // namespace godwit::config

#endif  // CONFIG_SETTINGS_READER_H_
