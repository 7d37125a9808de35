#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace bronzeroute {

/// A bounded queue of bytes between one writer and one reader, both on the event loop. The
/// callbacks only signal that the state may have changed; the callee reads the state itself.
class byte_pipe {
 public:
  /// Holds at most `capacity` unread bytes. The first `keep` bytes stay after they were read,
  /// so that `Rewind` works until the reader has gone past them.
  explicit byte_pipe(std::size_t capacity, std::size_t keep = 0);
  byte_pipe(const byte_pipe&) = delete;
  byte_pipe& operator=(const byte_pipe&) = delete;

  /// Writer: accepts as much of `bytes` as there is room for and returns the number accepted.
  std::size_t Append(std::string_view bytes);
  /// Writer: the body is complete; no more bytes follow.
  void End();
  /// Writer: the body is truncated; no more bytes follow. The reader still receives the bytes
  /// accepted before.
  void Fail();
  std::size_t Room() const;
  /// The reader called `Close`; the writer should stop.
  bool closed() const { return closed_; }
  bool discarding() const { return discarding_; }

  /// Reader: takes up to `max` bytes.
  std::size_t Take(char* to, std::size_t max);
  std::size_t Available() const { return data_.size() - read_; }
  /// True once all bytes have been read and no more follow. Never true after `Discard`, which
  /// takes bytes from the body.
  bool AtEnd() const { return ended_ && !discarding_ && Available() == 0; }
  /// True once all bytes have been read and the body was truncated.
  bool AtFailure() const { return (failed_ || discarding_) && Available() == 0; }
  bool ended() const { return ended_; }
  bool failed() const { return failed_; }
  /// Reader: goes back to the first byte; false if it is no longer kept.
  bool Rewind();
  /// True if `Rewind` would succeed.
  bool CanRewind() const { return !discarding_ && (rewindable_ || !taken_); }
  /// Reader: drops all bytes, including future ones, so that the writer never waits. A reader
  /// that goes on gets a truncated body.
  void Discard();
  /// Reader: stops reading; further `Append` calls accept no bytes.
  void Close();

  /// Sets the callback for the reader, called after bytes were appended or the body ended.
  void SetReader(std::function<void()> changed) { reader_ = std::move(changed); }
  /// Sets the callback for the writer, called after room was made or the reader called
  /// `Discard` or `Close`.
  void SetWriter(std::function<void()> changed) { writer_ = std::move(changed); }

 private:
  void Compact();

  std::size_t capacity_;
  std::size_t keep_;
  std::string data_;
  std::size_t read_ = 0;
  bool rewindable_;
  bool taken_ = false;
  bool ended_ = false;
  bool failed_ = false;
  bool discarding_ = false;
  bool closed_ = false;
  std::function<void()> reader_;
  std::function<void()> writer_;
};

}  // namespace bronzeroute
