// Received bytes that are not parsed yet. Taking bytes from the front moves none of the others, so
// that the work for many small parts is linear.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace oriolespread::internal {

class InputBuffer
{
public:
  void Append(std::string_view aBytes)
  {
    // Each byte is moved at most once for each byte that was taken before.
    if (this->begin > 0 && this->begin >= this->bytes.size() - this->begin) {
      this->moved += this->bytes.size() - this->begin;
      this->bytes.erase(0, this->begin);
      this->begin = 0;
    }
    this->bytes.append(aBytes);
  }
  void Take(std::size_t aSize)
  {
    this->begin += aSize;
    if (this->begin == this->bytes.size()) {
      this->bytes.clear();
      this->begin = 0;
    }
  }
  // Frees the memory.
  void Release()
  {
    std::string().swap(this->bytes);
    this->begin = 0;
  }
  std::string_view Bytes() const { return std::string_view(this->bytes).substr(this->begin); }
  bool IsEmpty() const { return this->begin == this->bytes.size(); }
  std::size_t Capacity() const { return this->bytes.capacity(); }
  std::uint64_t MovedBytes() const { return this->moved; }

private:
  std::string bytes;
  std::size_t begin = 0;
  std::uint64_t moved = 0;
};

} // namespace oriolespread::internal
