#include "src/transport/byte_pipe.h"

#include <algorithm>
#include <cstring>

namespace bronzeroute {
namespace {

// The callback may replace itself or drop the last reference to the pipe.
void Notify(const std::function<void()>& callback) {
  if (callback) {
    const std::function<void()> copy = callback;
    copy();
  }
}

}  // namespace

byte_pipe::byte_pipe(std::size_t capacity, std::size_t keep)
    : capacity_(capacity), keep_(keep), rewindable_(keep > 0) {}

std::size_t byte_pipe::Room() const {
  const std::size_t held = Available();
  return held < capacity_ ? capacity_ - held : 0;
}

std::size_t byte_pipe::Append(std::string_view bytes) {
  if (discarding_) return bytes.size();
  if (ended_ || failed_ || closed_) return 0;
  const std::size_t count = std::min(bytes.size(), Room());
  if (count == 0) return 0;
  data_.append(bytes.substr(0, count));
  Notify(reader_);
  return count;
}

void byte_pipe::End() {
  if (ended_ || failed_) return;
  ended_ = true;
  Notify(reader_);
}

void byte_pipe::Fail() {
  if (ended_ || failed_) return;
  failed_ = true;
  Notify(reader_);
}

std::size_t byte_pipe::Take(char* to, std::size_t max) {
  const std::size_t count = std::min(max, Available());
  if (count == 0) return 0;
  std::memcpy(to, data_.data() + read_, count);
  read_ += count;
  taken_ = true;
  if (rewindable_ && read_ > keep_) rewindable_ = false;
  if (!rewindable_) Compact();
  Notify(writer_);
  return count;
}

// Moves the unread bytes to the front once the read ones are the larger part, so that each byte
// is moved at most once on average.
void byte_pipe::Compact() {
  if (read_ == data_.size()) {
    data_.clear();
    read_ = 0;
  } else if (read_ >= data_.size() / 2) {
    data_.erase(0, read_);
    read_ = 0;
  }
}

bool byte_pipe::Rewind() {
  if (!CanRewind()) return false;
  read_ = 0;
  return true;
}

void byte_pipe::Discard() {
  discarding_ = true;
  rewindable_ = false;
  data_.clear();
  data_.shrink_to_fit();
  read_ = 0;
  Notify(writer_);
}

void byte_pipe::Close() {
  if (closed_) return;
  closed_ = true;
  Notify(writer_);
}

}  // namespace bronzeroute
