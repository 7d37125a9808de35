#pragma once

#include <cpprest/astreambuf.h>
#include <cpprest/streams.h>

#include <cstdint>
#include <ios>
#include <memory>

#include "src/transport/byte_pipe.h"

namespace bronzeroute {

/// One end of a `byte_pipe` as a stream buffer of the HTTP library. A write completes only when
/// the pipe has taken all of it, so that the library stops reading its socket; a read completes
/// when there is at least one byte or the end.
class bounded_buffer
    : public Concurrency::streams::details::streambuf_state_manager<std::uint8_t> {
 public:
  /// A stream that writes into `pipe`. Closing it leaves the pipe as it is: whoever waits for
  /// the message ends or fails the pipe, in the same step as it reports the event.
  static Concurrency::streams::ostream Writer(std::shared_ptr<byte_pipe> pipe);
  /// A stream that reads from `pipe`.
  static Concurrency::streams::istream Reader(std::shared_ptr<byte_pipe> pipe);

  /// A stream that reads from `buffer`.
  static Concurrency::streams::istream Stream(const std::shared_ptr<bounded_buffer>& buffer);

  /// Fails a pending and every further read; the pipe stays as it is.
  void AbortRead();

  bounded_buffer(std::shared_ptr<byte_pipe> pipe, std::ios_base::openmode mode);
  ~bounded_buffer() override;

  /// The base class answers a failed write by waiting for a task of the event loop, on the
  /// event loop; so failed writes must not pass through it.
  pplx::task<std::size_t> putn_nocopy(const std::uint8_t* ptr, std::size_t count) override;

  bool can_seek() const override { return false; }
  bool has_size() const override { return false; }
  std::size_t buffer_size(std::ios_base::openmode /*direction*/) const override { return 0; }
  void set_buffer_size(std::size_t /*size*/, std::ios_base::openmode /*direction*/) override {}
  std::size_t in_avail() const override { return pipe_->Available(); }
  pos_type getpos(std::ios_base::openmode direction) const override;
  pos_type seekpos(pos_type pos, std::ios_base::openmode direction) override;
  pos_type seekoff(off_type offset, std::ios_base::seekdir way,
                   std::ios_base::openmode mode) override;
  bool acquire(std::uint8_t*& ptr, std::size_t& count) override;
  void release(std::uint8_t* ptr, std::size_t count) override;

 protected:
  pplx::task<int_type> _putc(std::uint8_t value) override;
  pplx::task<std::size_t> _putn(const std::uint8_t* ptr, std::size_t count) override;
  pplx::task<int_type> _bumpc() override;
  int_type _sbumpc() override;
  pplx::task<int_type> _getc() override;
  int_type _sgetc() override;
  pplx::task<int_type> _nextc() override;
  pplx::task<int_type> _ungetc() override;
  pplx::task<std::size_t> _getn(std::uint8_t* ptr, std::size_t count) override;
  std::size_t _scopy(std::uint8_t* ptr, std::size_t count) override;
  pplx::task<bool> _sync() override;
  std::uint8_t* _alloc(std::size_t count) override;
  void _commit(std::size_t count) override;
  pplx::task<void> _close_write() override;
  pplx::task<void> _close_read() override;

 private:
  void ContinueWrite();
  void ContinueRead();

  std::shared_ptr<byte_pipe> pipe_;
  const char* write_from_ = nullptr;
  std::size_t write_left_ = 0;
  std::size_t write_count_ = 0;
  pplx::task_completion_event<std::size_t> write_done_;
  char* read_to_ = nullptr;
  std::size_t read_max_ = 0;
  pplx::task_completion_event<std::size_t> read_done_;
  std::size_t bytes_read_ = 0;
  // Set when reads must fail: the library tries to read a body again, or the read was aborted.
  bool broken_ = false;
};

}  // namespace bronzeroute
