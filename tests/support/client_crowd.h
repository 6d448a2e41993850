#ifndef SUPPORT_CLIENT_CROWD_H_
#define SUPPORT_CLIENT_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace godwit::support {

// Connections to one loopback port, which never read and whose kernel holds few
// received bytes. The destructor closes them.
class ClientCrowd {
 public:
  // Bytes that each client sends.
  struct Script {
    std::string opening;
    // Sent again and again after `opening`.
    std::string repeated;
    // Bytes after which a client stops.
    size_t max_bytes = 0;
  };

  ClientCrowd(uint16_t port, size_t clients);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Plays `script` with all clients at once, until each has sent all bytes or
  // lost its connection, the server has taken nothing from any of them for a
  // while, or `stop` returns true.
  void Send(const Script& script, const std::function<bool()>& stop);
  // Sends the same bytes with each client once.
  void SendOnce(const std::string& bytes);
  // Waits until each client that has a connection has something to read, for
  // five seconds at most.
  void AwaitAnswers();

 private:
  struct Client {
    int fd = -1;
    bool ended = false;
    size_t sent = 0;
  };

  // Sends the next bytes of a client; returns how many the kernel took.
  static size_t SendSome(Client& client, const Script& script);

  std::vector<Client> clients_;
};

}  // namespace godwit::support

#endif  // SUPPORT_CLIENT_CROWD_H_
