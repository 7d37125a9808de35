#include "src/base/read_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

namespace bronzeroute {
namespace {

class ReadFileTest : public testing::Test {
 protected:
  ReadFileTest() { std::filesystem::create_directories(folder_); }
  ~ReadFileTest() override { std::filesystem::remove_all(folder_); }
  void Write(const std::string& bytes) { std::ofstream(file_, std::ios::binary) << bytes; }

  std::string folder_ = std::filesystem::temp_directory_path() /
                        ("bronzeroute-read-file-" + std::to_string(getpid()));
  std::string file_ = folder_ + "/file";
};

// Guards against a folder that is taken for an empty document or settings file.
TEST_F(ReadFileTest, FolderCannotBeRead) { EXPECT_EQ(ReadFile(folder_), std::nullopt); }

TEST_F(ReadFileTest, MissingFileCannotBeRead) { EXPECT_EQ(ReadFile(file_), std::nullopt); }

// Guards against an empty file that counts as unreadable.
TEST_F(ReadFileTest, EmptyFileHasNoBytes) {
  Write("");
  EXPECT_EQ(ReadFile(file_), "");
}

// Guards against bytes that are lost or changed, at the ends of parts too.
TEST_F(ReadFileTest, AllBytesAreRead) {
  for (const std::size_t size : {1UL, 4095UL, 4096UL, 4097UL, 100'000UL}) {
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i) bytes += static_cast<char>(i * 7 % 256);
    Write(bytes);
    EXPECT_EQ(ReadFile(file_), bytes) << size << " bytes";
  }
}

}  // namespace
}  // namespace bronzeroute
