// A crowd of clients on loopback that send what is legal in size and never come
// to an end.

#ifndef TESTS_CROWD_CROWD_H_
#define TESTS_CROWD_CROWD_H_

#include <cstddef>
#include <string>
#include <vector>

namespace quetzalshelf::crowd {

// What every client of a crowd sends.
enum class Habit {
  kBodyShortOfItsEnd,  // At once, but for the last byte.
  kBodyPieceByPiece,   // All clients in turn, and never the last byte.
  kHeadersWithoutEnd,  // Up to the limit of headers.
  kChunksWithoutEnd,   // Up to the limit of bodies.
  kWholeBodies,        // Each then sends a second request short of its end.
  kAnswersNotRead,     // Many requests, and no answer is read.
};

// Non-blocking connections, closed with the object.
class Crowd {
 public:
  Crowd(std::string host, int port) : host_(std::move(host)), port_(port) {}
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Connects `clients` and sends until nothing more is taken, or all was sent.
  void Press(Habit habit, int clients);

 private:
  struct Client {
    int fd = -1;
    std::string text;
    size_t sent = 0;
  };

  bool Connect(Client& client) const;
  // Sends up to `limit` bytes. Whether some were taken.
  static bool SendSome(Client& client, size_t limit);

  std::string host_;
  int port_;
  std::vector<Client> clients_;
};

// One request on a connection of its own; the status of its answer, 0 when none
// has come in a minute.
int Ask(const std::string& host, int port, const std::string& request);

}  // namespace quetzalshelf::crowd

#endif  // TESTS_CROWD_CROWD_H_
