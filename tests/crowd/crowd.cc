#include "tests/crowd/crowd.h"

#include <algorithm>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace quetzalshelf::crowd {

namespace {

constexpr size_t kBodyBytes = 250'000;  // Below the limit of one body.
constexpr size_t kPieceBytes = 4'096;
constexpr size_t kHeaderBytes = 15'000;
constexpr int kPipelined = 2'000;
// Rounds without progress after which a crowd is taken to press no further, and
// the wait for room before each of them.
constexpr int kIdleRounds = 20;
constexpr int kRoundMillis = 10;
constexpr int kAnswerSeconds = 60;

std::string Post(size_t length) {
  return "POST /plans/00000000000000ff HTTP/1.1\r\nHost: desk.example\r\n"
         "Authorization: Token key-plaza\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

std::string TextOf(Habit habit) {
  const std::string body(kBodyBytes, 'x');
  switch (habit) {
    case Habit::kBodyShortOfItsEnd:
    case Habit::kBodyPieceByPiece:
      return Post(body.size() + 1) + body;
    case Habit::kHeadersWithoutEnd:
      return "GET /plans/ HTTP/1.1\r\nX-Long: " +
             std::string(kHeaderBytes, 'x');
    case Habit::kChunksWithoutEnd:
      return "POST /plans/00000000000000ff HTTP/1.1\r\nHost: desk.example\r\n"
             "Transfer-Encoding: chunked\r\n\r\n3d090\r\n" +
             body + "\r\n";
    case Habit::kWholeBodies:
      return Post(body.size()) + body + Post(body.size() + 1) + body;
    case Habit::kAnswersNotRead: {
      std::string text;
      for (int n = 0; n < kPipelined; ++n)
        text += "GET /plans/ HTTP/1.1\r\nHost: desk.example\r\n\r\n";
      return text;
    }
  }
  return "";
}

bool ConnectTo(int fd, const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  return ::inet_pton(AF_INET, host.c_str(), &address.sin_addr) == 1 &&
         ::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0;
}

}  // namespace

Crowd::~Crowd() {
  for (const Client& it : clients_) {
    if (it.fd >= 0)
      ::close(it.fd);
  }
}

bool Crowd::Connect(Client& client) const {
  client.fd = ::socket(AF_INET, SOCK_STREAM, 0);
  return client.fd >= 0 && ConnectTo(client.fd, host_, port_);
}

bool Crowd::SendSome(Client& client, size_t limit) {
  const size_t n = std::min(limit, client.text.size() - client.sent);
  if (client.fd < 0 || n == 0)
    return false;
  const ssize_t taken = ::send(client.fd, client.text.data() + client.sent, n,
                               MSG_DONTWAIT | MSG_NOSIGNAL);
  if (taken > 0)
    client.sent += static_cast<size_t>(taken);
  return taken > 0;
}

void Crowd::Press(Habit habit, int clients) {
  const std::string text = TextOf(habit);
  for (int n = 0; n < clients; ++n) {
    clients_.push_back({.text = text});
    Connect(clients_.back());
  }
  const size_t limit =
      habit == Habit::kBodyPieceByPiece ? kPieceBytes : text.size();
  for (int idle = 0; idle < kIdleRounds;) {
    bool progress = false;
    for (Client& it : clients_)
      progress = SendSome(it, limit) || progress;
    idle = progress ? 0 : idle + 1;
    if (!progress)
      ::poll(nullptr, 0, kRoundMillis);
  }
}

int Ask(const std::string& host, int port, const std::string& request) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval patience{.tv_sec = kAnswerSeconds, .tv_usec = 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  int status = 0;
  char buf[1'024] = {};
  // `HTTP/1.1 200 ..`
  constexpr size_t kStatusAt = 9;
  if (ConnectTo(fd, host, port) &&
      ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0 &&
      ::recv(fd, buf, sizeof(buf) - 1, 0) > static_cast<ssize_t>(kStatusAt))
    status = std::atoi(buf + kStatusAt);
  ::close(fd);
  return status;
}

}  // namespace quetzalshelf::crowd
